import type {LimitDemand} from '../router/messages/limit_demand.js';
import type {AllocatorRole} from './allocator_role.js';
import type {DemandEntry} from './demand_entry.js';
import {fallbackShare} from './fallback_share.js';
import type {LimitAmounts} from './limit_amounts.js';
import {LIMIT_KINDS, type LimitKind} from './limit_kind.js';
import {planShares} from './plan_shares.js';
import type {RouterGrant} from './router_grant.js';
import type {ShareEntry} from './share_entry.js';
import {SHARE_LIFETIME_MS} from './share_lifetime.js';

/** A division is used this long, since each costs time for every router. */
const PLAN_MS = 100;

/** Grants shares of the customers that this router allocates. */
export interface ShareAllocator {
  /** Shares for a router; customers of other allocators are left out. */
  grant(nowMs: number, router: string, demand: LimitDemand): ShareEntry[];
  /** Forgets expired grants. */
  expire(nowMs: number): void;
}

/** What the allocator needs of its router. */
export interface ShareAllocatorParts {
  self: string;
  role: AllocatorRole;
  fleetSize: number;
  /** Limits of a customer; undefined if the table has none. */
  limits(customer: string): LimitAmounts | undefined;
}

interface Allocation {
  grants: Map<string, RouterGrant>;
  targets: Map<string, LimitAmounts>;
  plannedMs: number;
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
      if (!limits || role.allocator(customer) !== self) {
        allocations.delete(customer);
        return [];
      }
      const allocation = allocations.get(customer) ?? newAllocation();
      allocations.set(customer, allocation);
      const grant = noteDemand(allocation, router, demand, entry);
      const pool = poolOf(limits);
      plan(nowMs, customer, limits, pool, allocation, router);
      const target = allocation.targets.get(router)!;
      const share = {...target};
      for (const kind of LIMIT_KINDS) {
        const free = pool[kind] - usedByOthers(allocation, router, kind);
        share[kind] = Math.max(0, Math.min(target[kind], free));
      }
      const {incarnation, askedMs} = demand;
      const expiresMs = nowMs + SHARE_LIFETIME_MS;
      grant.issued.push({share, incarnation, askedMs, expiresMs});
      return [{customer, share}];
    });
  }

  /**
   * Members out of reach may use their fallback, so what the others may use
   * shrinks with the number of members alive.
   */
  function poolOf(limits: LimitAmounts): LimitAmounts {
    const reached = Math.min(1, role.members() / fleetSize);
    return {
      requests: limits.requests * reached,
      tokens: limits.tokens * reached,
      concurrency: Math.floor(limits.concurrency * reached),
    };
  }

  function plan(
    nowMs: number,
    customer: string,
    limits: LimitAmounts,
    pool: LimitAmounts,
    allocation: Allocation,
    router: string,
  ): void {
    const fresh = nowMs < allocation.plannedMs + PLAN_MS;
    if (fresh && allocation.targets.has(router)) return;
    allocation.plannedMs = nowMs;
    const fallback = fallbackShare(limits, fleetSize);
    const routers = [...allocation.grants.keys()];
    allocation.targets = role.established(customer, nowMs)
      ? planShares(nowMs, customer, pool, fallback, allocation.grants)
      : new Map(routers.map(name => [name, fallback]));
  }

  function expire(nowMs: number): void {
    for (const [customer, {grants, targets}] of allocations) {
      for (const [router, grant] of grants) {
        grant.issued = grant.issued.filter(share => share.expiresMs > nowMs);
        if (grant.issued.length > 0) continue;
        grants.delete(router);
        targets.delete(router);
      }
      if (grants.size === 0) allocations.delete(customer);
    }
  }

  return {grant, expire};
}

function newAllocation(): Allocation {
  return {grants: new Map(), targets: new Map(), plannedMs: -Infinity};
}

function noteDemand(
  {grants}: Allocation,
  router: string,
  {incarnation}: LimitDemand,
  demand: DemandEntry,
): RouterGrant {
  const issued = (grants.get(router)?.issued ?? []).filter(
    share =>
      share.incarnation !== incarnation || share.askedMs >= demand.heldMs,
  );
  const grant = {demand, issued};
  grants.set(router, grant);
  return grant;
}

/** What routers other than `router` may use until their shares expire. */
function usedByOthers(
  {grants}: Allocation,
  router: string,
  kind: LimitKind,
): number {
  let sum = 0;
  for (const [name, {demand, issued}] of grants) {
    if (name === router) continue;
    // Requests in flight are not interrupted when a share shrinks.
    const least = kind === 'concurrency' ? demand.inFlight : 0;
    sum += Math.max(least, ...issued.map(({share}) => share[kind]));
  }
  return sum;
}
