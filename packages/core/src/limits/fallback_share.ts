import type {LimitAmounts} from './limit_amounts.js';

/** Share of a router without a granted one: the limit over the fleet size. */
export function fallbackShare(
  limits: LimitAmounts,
  fleetSize: number,
): LimitAmounts {
  return {
    requests: limits.requests / fleetSize,
    tokens: limits.tokens / fleetSize,
    concurrency: Math.floor(limits.concurrency / fleetSize),
  };
}
