import type {AliveMembers} from '../membership/alive_members.js';
import {rendezvousFirst} from '../shared/rendezvous.js';
import {allocatorKey} from './allocator_key.js';
import {SHARE_LIFETIME_MS} from './share_lifetime.js';

/** Which customers this router allocates, and for how long it has. */
export interface AllocatorRole {
  /** Takes notice of the members believed alive. */
  observe(nowMs: number): void;
  /**
   * Smallest number of members believed alive within a share lifetime. Those
   * that have just come back may hold shares of another allocator.
   */
  minAliveMembers(): number;
  /** Address of the allocator of a customer. */
  allocator(customer: string): string;
  /**
   * Whether demand may be followed: this process has been the allocator of
   * the customer for a whole share lifetime, so that it has granted every live
   * share, and most members have been alive for that time.
   */
  established(customer: string, nowMs: number): boolean;
}

/** Creates the role of a process that starts now. */
export function createAllocatorRole(members: AliveMembers): AllocatorRole {
  let startedMs: number | undefined;
  let current: string[] = [...members.alive()];
  /** Allocators of customers among the current members. */
  const allocators = new Map<string, string>();
  let past: {members: string[]; untilMs: number}[] = [];

  function observe(nowMs: number): void {
    startedMs ??= nowMs;
    past = past.filter(view => view.untilMs + SHARE_LIFETIME_MS > nowMs);
    const alive = members.alive();
    if (sameMembers(alive, current)) return;
    past.push({members: current, untilMs: nowMs});
    current = [...alive];
    allocators.clear();
  }

  function allocator(customer: string): string {
    const known = allocators.get(customer);
    if (known !== undefined) return known;
    const first = rendezvousFirst(allocatorKey(customer), current);
    allocators.set(customer, first ?? members.self);
    return first ?? members.self;
  }

  function fewestAlive(): number {
    return Math.min(current.length, ...past.map(view => view.members.length));
  }

  function established(customer: string, nowMs: number): boolean {
    if (startedMs === undefined) return false;
    if (nowMs < startedMs + SHARE_LIFETIME_MS) return false;
    if (fewestAlive() < current.length / 2) return false;
    const key = allocatorKey(customer);
    return past.every(
      view => rendezvousFirst(key, view.members) === members.self,
    );
  }

  return {
    observe,
    minAliveMembers: fewestAlive,
    allocator,
    established,
  };
}

function sameMembers(a: string[], b: string[]): boolean {
  if (a.length !== b.length) return false;
  const known = new Set(b);
  return a.every(member => known.has(member));
}
