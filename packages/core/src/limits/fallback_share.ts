import type {LimitAmounts} from './limit_amounts.js';

/** What a router may use on its own: the limit divided by the fleet size. */
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
