import {rendezvousOrder} from '../shared/rendezvous.js';
import {divideFairly, divideUnits} from './divide_fairly.js';
import type {LimitAmounts} from './limit_amounts.js';
import {LIMIT_KINDS} from './limit_kind.js';
import type {RouterGrant} from './router_grant.js';

/** Factor for growth of the demand until it is reported again. */
const HEADROOM = 1.5;
/** Period after which indivisible remainders go to other routers. */
const ROTATION_MS = 10_000;

/**
 * Divides a customer's pool by demand. Amounts without demand stay in the pool
 * for routers that report later.
 */
export function planShares(
  nowMs: number,
  customer: string,
  pool: LimitAmounts,
  fallback: LimitAmounts,
  grants: Map<string, RouterGrant>,
): Map<string, LimitAmounts> {
  const period = Math.floor(nowMs / ROTATION_MS);
  const order = rendezvousOrder(`${customer}|${period}`, [...grants.keys()]);
  const shares = order.map(() => ({...fallback}));
  for (const kind of LIMIT_KINDS) {
    const demands = order.map(router => {
      const demand = (grants.get(router)?.demand.wanted[kind] ?? 0) * HEADROOM;
      return Math.max(demand, fallback[kind]);
    });
    const parts =
      kind === 'concurrency'
        ? divideUnits(pool[kind], demands.map(Math.ceil))
        : divideFairly(pool[kind], demands);
    shares.forEach((share, index) => {
      share[kind] = parts[index] ?? 0;
    });
  }
  return new Map(order.map((router, index) => [router, shares[index]!]));
}
