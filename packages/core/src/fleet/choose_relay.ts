import type {GatewayMember} from './gateway_member.js';

/** Fleets of so many gateways tell each other everything directly. */
const MOST_DIRECT = 12;

/** What the choice of a relay needs to know of a gateway. */
export type RelayCandidate = Pick<
  GatewayMember,
  'address' | 'failureDomain' | 'draining'
>;

/** Whether changes of work are told through relays. */
export function usesRelays(alive: readonly RelayCandidate[]): boolean {
  return alive.length >= MOST_DIRECT;
}

/**
 * Whether the gateways of a fleet learn late of each other's choices.
 * @param known gateways that may be alive, this one included: after a restart
 * of all, most have not been heard yet
 */
export function isLargeFleet(known: number): boolean {
  return known > MOST_DIRECT;
}

/**
 * Address of the gateway that passes on changes of work for its failure
 * domain; undefined if nobody can. The reader of the store is the lowest
 * address, relays are the highest, so that no gateway does both.
 */
export function chooseRelay(
  failureDomain: string,
  candidates: readonly RelayCandidate[],
): string | undefined {
  return candidates
    .filter(({draining}) => !draining)
    .filter(candidate => candidate.failureDomain === failureDomain)
    .map(({address}) => address)
    .reduce<string | undefined>(
      (last, next) => (last === undefined || next > last ? next : last),
      undefined,
    );
}
