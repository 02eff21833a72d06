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
  members(): number;
  /** Address of the allocator of a customer. */
  allocator(customer: string): string;
  /**
   * Whether every live share of the customer was granted by this process:
   * it has been the allocator for a whole share lifetime.
   */
  established(customer: string, nowMs: number): boolean;
}

/** Creates the role of a process that starts now. */
export function createAllocatorRole(members: AliveMembers): AllocatorRole {
  let startedMs: number | undefined;
  let current: string[] = members.alive();
  let past: {members: string[]; untilMs: number}[] = [];

  function observe(nowMs: number): void {
    startedMs ??= nowMs;
    past = past.filter(view => view.untilMs + SHARE_LIFETIME_MS > nowMs);
    const alive = members.alive();
    if (sameMembers(alive, current)) return;
    past.push({members: current, untilMs: nowMs});
    current = [...alive];
  }

  function established(customer: string, nowMs: number): boolean {
    if (startedMs === undefined) return false;
    if (nowMs < startedMs + SHARE_LIFETIME_MS) return false;
    const key = allocatorKey(customer);
    return past.every(
      view => rendezvousFirst(key, view.members) === members.self,
    );
  }

  return {
    observe,
    members: () =>
      Math.min(current.length, ...past.map(view => view.members.length)),
    allocator: customer =>
      rendezvousFirst(allocatorKey(customer), current) ?? members.self,
    established,
  };
}

function sameMembers(a: string[], b: string[]): boolean {
  if (a.length !== b.length) return false;
  const known = new Set(b);
  return a.every(member => known.has(member));
}
