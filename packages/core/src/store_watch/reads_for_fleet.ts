import type {GatewayMember} from '../fleet/gateway_member.js';

/**
 * Whether a gateway reads the store for the fleet: of those that reach it, the
 * one with the lowest address. Gateways may disagree for a while; then several
 * read, which is harmless.
 */
export function readsForFleet(
  self: string,
  selfReachable: boolean,
  alive: readonly GatewayMember[],
): boolean {
  let otherReaches = false;
  for (const {address, storeReachable, draining} of alive) {
    if (!storeReachable || draining) continue;
    if (address < self) return false;
    otherReaches = true;
  }
  return selfReachable || !otherReaches;
}
