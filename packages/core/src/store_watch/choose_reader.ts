import type {GatewayMember} from '../fleet/gateway_member.js';

/**
 * Address of the gateway that reads the store for all. Gateways may disagree
 * for a while; then several read, which is harmless.
 */
export function chooseReader(
  self: string,
  selfReachable: boolean,
  alive: GatewayMember[],
): string {
  const able = alive
    .filter(({storeReachable, draining}) => storeReachable && !draining)
    .map(({address}) => address);
  if (selfReachable || able.length === 0) able.push(self);
  return able.reduce((first, next) => (next < first ? next : first));
}
