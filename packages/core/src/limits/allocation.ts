import type {LimitDemand} from '../router/messages/limit_demand.js';
import type {DemandEntry} from './demand_entry.js';
import type {LimitAmounts} from './limit_amounts.js';
import {LIMIT_KINDS} from './limit_kind.js';
import type {RouterGrant} from './router_grant.js';

const NONE: LimitAmounts = {requests: 0, tokens: 0, concurrency: 0};

/** What an allocator has granted of one customer's limits, by router. */
export interface Allocation {
  grants: Map<string, RouterGrant>;
  /** Sum of what the routers hold. */
  used: LimitAmounts;
  /** What each router should hold by the newest division. */
  targets: Map<string, LimitAmounts>;
  plannedMs: number;
}

/** Creates an allocation without grants. */
export function newAllocation(): Allocation {
  return {
    grants: new Map(),
    used: {...NONE},
    targets: new Map(),
    plannedMs: -Infinity,
  };
}

/** Takes note of a demand and of the share that it confirms. */
export function recordDemand(
  allocation: Allocation,
  router: string,
  {incarnation}: LimitDemand,
  demand: DemandEntry,
): RouterGrant {
  const known = allocation.grants.get(router);
  const issued = (known?.issued ?? []).filter(
    share =>
      share.incarnation !== incarnation || share.askedMs >= demand.heldMs,
  );
  const grant = {demand, issued, held: known?.held ?? {...NONE}};
  allocation.grants.set(router, grant);
  recount(allocation, grant);
  return grant;
}

/** Brings what a router may use, and the sum over all, up to date. */
export function recount({used}: Allocation, grant: RouterGrant): void {
  const {demand, issued, held} = grant;
  for (const kind of LIMIT_KINDS) {
    // Requests in flight are not interrupted when a share shrinks.
    let most = kind === 'concurrency' ? demand.inFlight : 0;
    for (const {share} of issued) most = Math.max(most, share[kind]);
    used[kind] += most - held[kind];
    held[kind] = most;
  }
}

/** Forgets shares that have expired. */
export function dropExpired(allocation: Allocation, nowMs: number): void {
  const {grants, targets} = allocation;
  // Summed afresh, so that rounding errors do not add up.
  allocation.used = {...NONE};
  for (const [router, grant] of grants) {
    grant.issued = grant.issued.filter(share => share.expiresMs > nowMs);
    grant.held = {...NONE};
    if (grant.issued.length > 0) recount(allocation, grant);
    else {
      grants.delete(router);
      targets.delete(router);
    }
  }
}
