import type {MemberUpdate} from '../router/messages/member_update.js';
import type {MemberStatus} from './member_status.js';

const RANK: Record<MemberStatus, number> = {alive: 0, suspect: 1, dead: 2};

/**
 * Whether an update replaces the known one. A later incarnation replaces an
 * earlier one; within an incarnation, a refutation replaces the suspicions
 * before it.
 */
export function isNewer(update: MemberUpdate, known: MemberUpdate): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  if (update.refutation !== known.refutation) {
    return update.refutation > known.refutation;
  }
  return RANK[update.status] > RANK[known.status];
}
