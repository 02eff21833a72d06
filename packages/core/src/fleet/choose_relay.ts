import type {GatewayMember} from './gateway_member.js';

/** Fleets of so many gateways tell each other everything directly. */
const MOST_DIRECT = 12;

/**
 * Address of the gateway that passes on changes of work for all; undefined in
 * a small fleet. The reader of the store is the lowest address, the relay the
 * highest, so that no gateway does both.
 */
export function chooseRelay(
  self: string,
  selfDraining: boolean,
  alive: GatewayMember[],
): string | undefined {
  if (alive.length < MOST_DIRECT) return undefined;
  const able = alive
    .filter(({draining}) => !draining)
    .map(({address}) => address);
  if (!selfDraining) able.push(self);
  return able.reduce<string | undefined>(
    (last, next) => (last === undefined || next > last ? next : last),
    undefined,
  );
}
