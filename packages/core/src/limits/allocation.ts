import type {LimitDemand} from '../router/messages/limit_demand.js';
import type {DemandEntry} from './demand_entry.js';
import type {LimitAmounts} from './limit_amounts.js';
import {LIMIT_KINDS} from './limit_kind.js';
import type {RouterGrant} from './router_grant.js';

const NONE: LimitAmounts = {requests: 0, tokens: 0, concurrency: 0};

/** Shares of one customer's limits that an allocator has granted. */
export interface Allocation {
  /** By address of the router. */
  grants: Map<string, RouterGrant>;
  /** Sum of the amounts that the routers may use. */
  used: LimitAmounts;
  /** Amounts of each router by the newest division. */
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

/** Records a demand, and drops shares older than the one it confirms. */
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
  updateHeld(allocation, grant);
  return grant;
}

/** Updates the amounts that a router may use, and the sum over all routers. */
export function updateHeld({used}: Allocation, grant: RouterGrant): void {
  const {demand, issued, held} = grant;
  for (const kind of LIMIT_KINDS) {
    // Requests in flight are not interrupted when a share shrinks.
    let maxAmount = kind === 'concurrency' ? demand.inFlight : 0;
    for (const {share} of issued) maxAmount = Math.max(maxAmount, share[kind]);
    used[kind] += maxAmount - held[kind];
    held[kind] = maxAmount;
  }
}

/** Removes expired shares. */
export function dropExpired(allocation: Allocation, nowMs: number): void {
  const {grants, targets} = allocation;
  // Recomputed, so that rounding errors do not accumulate.
  allocation.used = {...NONE};
  for (const [router, grant] of grants) {
    grant.issued = grant.issued.filter(share => share.expiresMs > nowMs);
    grant.held = {...NONE};
    if (grant.issued.length > 0) updateHeld(allocation, grant);
    else {
      grants.delete(router);
      targets.delete(router);
    }
  }
}
