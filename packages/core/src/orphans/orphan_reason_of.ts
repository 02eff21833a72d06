import type {Membership} from '../membership/membership.js';
import type {OrphanReason} from './orphan_reason.js';
import type {SessionOwner} from './session_owner.js';

/**
 * Returns why the sessions of an owner are orphans; undefined if another router
 * cannot tell that they are.
 */
export function orphanReasonOf(
  members: Membership,
  owner: SessionOwner,
): OrphanReason | undefined {
  const known = members.incarnation(owner.address);
  if (known === undefined) return 'owner_forgotten';
  if (owner.incarnation < known) return 'owner_restarted';
  // An incarnation newer than the known one may be alive.
  if (owner.incarnation > known) return undefined;
  return members.status(owner.address) === 'dead' ? 'owner_dead' : undefined;
}
