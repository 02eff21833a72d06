import type {GatewayMember} from './gateway_member.js';

/** Largest fleet in which gateways send everything to all others directly. */
const MAX_DIRECT_GATEWAYS = 12;

/** Properties of a gateway on which the choice of a relay depends. */
export type RelayCandidate = Pick<
  GatewayMember,
  'address' | 'failureDomain' | 'draining'
>;

/** Whether changes of work are sent through relays. */
export function usesRelays(alive: readonly RelayCandidate[]): boolean {
  return alive.length >= MAX_DIRECT_GATEWAYS;
}

/**
 * Whether gateways learn of each other's choices with a delay, as relays are
 * in use.
 * @param known gateways that may be alive, this one included: after a restart
 * of the whole fleet, most have sent no heartbeat yet
 */
export function isLargeFleet(known: number): boolean {
  return known > MAX_DIRECT_GATEWAYS;
}

/**
 * Address of the gateway that passes on changes of work for its failure
 * domain; undefined if none can. The reader of the store is the lowest
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
