import type {Membership} from '../membership/membership.js';
import {rendezvousOrder} from '../shared/rendezvous.js';

/**
 * Routers that may release a session, in order of preference. Only routers of
 * the endpoint's failure domain are asked where there are any: an owner that
 * can reach the endpoint can then reach them as well, so that a partition
 * does not make a living owner with a working connection look dead.
 */
export function chooseReleasers(
  members: Membership,
  endpointDomain: string,
  sessionKey: string,
): string[] {
  const alive = members.alive();
  const near = alive.filter(
    address => members.failureDomain(address) === endpointDomain,
  );
  return rendezvousOrder(sessionKey, near.length > 0 ? near : alive);
}
