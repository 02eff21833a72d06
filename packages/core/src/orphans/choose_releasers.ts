import type {Membership} from '../membership/membership.js';
import {rendezvousOrder} from '../shared/rendezvous.js';

/**
 * Routers that may release a session, in order of preference: those of the
 * endpoint's failure domain, or all if it has none. An owner that can reach the
 * endpoint can reach those routers too, so a partition does not make an
 * alive owner with a working connection look dead.
 */
export function chooseReleasers(
  members: Membership,
  endpointDomain: string,
  sessionKey: string,
): string[] {
  const alive = members.alive();
  const sameDomain = alive.filter(
    address => members.failureDomain(address) === endpointDomain,
  );
  return rendezvousOrder(
    sessionKey,
    sameDomain.length > 0 ? sameDomain : alive,
  );
}
