import type {Membership} from '../membership/membership.js';
import type {OrphanReason} from './orphan_reason.js';
import type {SessionOwner} from './session_owner.js';

/**
 * Says why the sessions of an owner are orphans; undefined if they are not,
 * as far as another router can tell.
 */
export function orphanReasonOf(
  members: Membership,
  owner: SessionOwner,
): OrphanReason | undefined {
  const known = members.incarnation(owner.address);
  if (known === undefined) return 'owner_forgotten';
  if (owner.incarnation < known) return 'owner_restarted';
  // A start that this router has not heard of yet is not known to be dead.
  if (owner.incarnation > known) return undefined;
  return members.status(owner.address) === 'dead' ? 'owner_dead' : undefined;
}
