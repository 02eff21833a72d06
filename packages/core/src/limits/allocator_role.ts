import type {AliveMembers} from '../membership/alive_members.js';
import {rendezvousFirst} from '../shared/rendezvous.js';
import {allocatorKey} from './allocator_key.js';
import {SHARE_LIFETIME_MS} from './share_lifetime.js';

/** Tracks which customers this router allocates, and since when. */
export interface AllocatorRole {
  /** Updates the view of the members believed alive. */
  observe(nowMs: number): void;
  /**
   * Smallest number of members believed alive within the last share lifetime.
   * Members that have just returned may hold shares of another allocator.
   */
  minAliveMembers(): number;
  /** Address of the allocator of a customer. */
  allocator(customer: string): string;
  /**
   * Whether shares may follow demand: this process has been the allocator of
   * the customer for a whole share lifetime, so that it has granted every
   * valid share, and most members have been alive for that time.
   */
  isEstablished(customer: string, nowMs: number): boolean;
}

/** Creates the role of a process that starts now. */
export function createAllocatorRole(members: AliveMembers): AllocatorRole {
  let startedMs: number | undefined;
  let currentMembers: string[] = [...members.alive()];
  /** Cached allocator of each customer among the current members. */
  const allocators = new Map<string, string>();
  let pastViews: {members: string[]; untilMs: number}[] = [];

  function observe(nowMs: number): void {
    startedMs ??= nowMs;
    pastViews = pastViews.filter(
      view => view.untilMs + SHARE_LIFETIME_MS > nowMs,
    );
    const alive = members.alive();
    if (sameMembers(alive, currentMembers)) return;
    pastViews.push({members: currentMembers, untilMs: nowMs});
    currentMembers = [...alive];
    allocators.clear();
  }

  function allocator(customer: string): string {
    const known = allocators.get(customer);
    if (known !== undefined) return known;
    const first = rendezvousFirst(allocatorKey(customer), currentMembers);
    allocators.set(customer, first ?? members.self);
    return first ?? members.self;
  }

  function minAliveMembers(): number {
    return Math.min(
      currentMembers.length,
      ...pastViews.map(view => view.members.length),
    );
  }

  function isEstablished(customer: string, nowMs: number): boolean {
    if (startedMs === undefined) return false;
    if (nowMs < startedMs + SHARE_LIFETIME_MS) return false;
    if (minAliveMembers() < currentMembers.length / 2) return false;
    const key = allocatorKey(customer);
    return pastViews.every(
      view => rendezvousFirst(key, view.members) === members.self,
    );
  }

  return {
    observe,
    minAliveMembers,
    allocator,
    isEstablished,
  };
}

function sameMembers(a: string[], b: string[]): boolean {
  if (a.length !== b.length) return false;
  const known = new Set(b);
  return a.every(member => known.has(member));
}
