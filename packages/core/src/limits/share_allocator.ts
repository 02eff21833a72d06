import type {LimitDemand} from '../router/messages/limit_demand.js';
import {
  dropExpired,
  newAllocation,
  recordDemand,
  updateHeld,
  type Allocation,
} from './allocation.js';
import type {AllocatorRole} from './allocator_role.js';
import type {DemandEntry} from './demand_entry.js';
import {fallbackShare} from './fallback_share.js';
import type {LimitAmounts} from './limit_amounts.js';
import {LIMIT_KINDS} from './limit_kind.js';
import {planShares} from './plan_shares.js';
import type {ShareEntry} from './share_entry.js';
import {SHARE_LIFETIME_MS} from './share_lifetime.js';

/** Targets are reused this long: a division costs time for every router. */
const PLAN_INTERVAL_MS = 250;
/** Limits the answers for one customer to 100 a second. */
const ASK_AFTER_MS_PER_ROUTER = 10;
const MIN_ASK_AFTER_MS = 1_000;
/** Leaves time to resend a lost demand before the share expires. */
const MAX_ASK_AFTER_MS = 4_000;

/** Grants shares of the limits that this router allocates. */
export interface ShareAllocator {
  /** Returns shares for a router; skips customers of other allocators. */
  grant(nowMs: number, router: string, demand: LimitDemand): ShareEntry[];
  /** Removes expired grants. */
  expire(nowMs: number): void;
}

/** Dependencies of a share allocator. */
export interface ShareAllocatorParts {
  self: string;
  role: AllocatorRole;
  fleetSize: number;
  /** Limits of a customer; undefined if the table has none. */
  limits(customer: string): LimitAmounts | undefined;
}

/** Creates an allocator without grants. */
export function createShareAllocator(
  parts: ShareAllocatorParts,
): ShareAllocator {
  const {self, role, fleetSize} = parts;
  const allocations = new Map<string, Allocation>();

  function grant(
    nowMs: number,
    router: string,
    demand: LimitDemand,
  ): ShareEntry[] {
    return demand.entries.flatMap(entry => {
      const {customer} = entry;
      const limits = parts.limits(customer);
      if (!limits || role.allocator(customer) !== self) return [];
      const allocation = allocations.get(customer) ?? newAllocation();
      allocations.set(customer, allocation);
      const grant = recordDemand(allocation, router, demand, entry);
      const share = role.isEstablished(customer, nowMs)
        ? establishedShare(nowMs, entry, limits, allocation, router)
        : fallbackShare(limits, fleetSize);
      const {incarnation, askedMs} = demand;
      const expiresMs = nowMs + SHARE_LIFETIME_MS;
      grant.issued.push({share, incarnation, askedMs, expiresMs});
      updateHeld(allocation, grant);
      return [{customer, share, askAfterMs: askAfterMs(allocation)}];
    });
  }

  function establishedShare(
    nowMs: number,
    {customer}: DemandEntry,
    limits: LimitAmounts,
    allocation: Allocation,
    router: string,
  ): LimitAmounts {
    const {issued, held} = allocation.grants.get(router)!;
    const pool = reachablePool(limits);
    const fallback = fallbackShare(limits, fleetSize);
    refreshTargets(nowMs, customer, pool, fallback, allocation, router);
    const target = allocation.targets.get(router)!;
    const share = {...target};
    for (const kind of LIMIT_KINDS) {
      const free = pool[kind] - (allocation.used[kind] - held[kind]);
      // A first share is not below the fallback that it replaces, even before
      // the other routers have returned the excess.
      const minimum = issued.length === 0 ? fallback[kind] : 0;
      share[kind] = roundDown(Math.min(target[kind], Math.max(free, minimum)));
    }
    return share;
  }

  /**
   * Unreachable members may use their fallback shares, so the pool of the
   * others shrinks with the number of members alive.
   */
  function reachablePool(limits: LimitAmounts): LimitAmounts {
    const aliveFraction = Math.min(1, role.minAliveMembers() / fleetSize);
    return {
      requests: limits.requests * aliveFraction,
      tokens: limits.tokens * aliveFraction,
      concurrency: Math.floor(limits.concurrency * aliveFraction),
    };
  }

  function refreshTargets(
    nowMs: number,
    customer: string,
    pool: LimitAmounts,
    fallback: LimitAmounts,
    allocation: Allocation,
    router: string,
  ): void {
    const isCurrent = nowMs < allocation.plannedMs + PLAN_INTERVAL_MS;
    if (isCurrent && allocation.targets.has(router)) return;
    allocation.plannedMs = nowMs;
    allocation.targets = planShares(
      nowMs,
      customer,
      pool,
      fallback,
      allocation.grants,
    );
  }

  function expire(nowMs: number): void {
    for (const [customer, allocation] of allocations) {
      dropExpired(allocation, nowMs);
      if (allocation.grants.size === 0) allocations.delete(customer);
    }
  }

  return {grant, expire};
}

function askAfterMs({grants}: Allocation): number {
  const intervalMs = grants.size * ASK_AFTER_MS_PER_ROUTER;
  return Math.min(MAX_ASK_AFTER_MS, Math.max(MIN_ASK_AFTER_MS, intervalMs));
}

/** Rounds down to three decimals, which keeps messages short. */
function roundDown(amount: number): number {
  return Math.max(0, Math.floor(amount * 1_000) / 1_000);
}
