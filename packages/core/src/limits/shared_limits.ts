import type {AliveMembers} from '../membership/alive_members.js';
import type {PeerReceived} from '../router/events/peer_received.js';
import type {LimitShare} from '../router/messages/limit_share.js';
import type {RouterContext} from '../router/router_context.js';
import type {RouterFeature} from '../router/router_feature.js';
import {Ok, type Result} from '../shared/result.js';
import type {CustomerRow} from '../types/customer_row.js';
import {createAllocatorRole} from './allocator_role.js';
import type {CustomerLimits} from './customer_limits.js';
import {createCustomerUsage, type CustomerUsage} from './customer_usage.js';
import {fallbackShare} from './fallback_share.js';
import {limitsOf, type LimitAmounts} from './limit_amounts.js';
import type {LimitRefusal} from './limit_refusal.js';
import {createShareAllocator} from './share_allocator.js';

const CHECK_INTERVAL_MS = 100;
/** Time after which an unanswered demand is sent again. */
const RESEND_INTERVAL_MS = 250;

/** Limits that allocators divide among all routers. */
export interface SharedLimits extends CustomerLimits, RouterFeature {
  /** Amounts of a customer's limits that this router may use now. */
  amounts(nowMs: number, customer: CustomerRow): LimitAmounts;
}

/** Dependencies of the limits. */
export interface SharedLimitsParts {
  members: AliveMembers;
  incarnation: number;
  /** Number of routers that share the limits. */
  fleetSize: number;
  /** Row of a customer; undefined if the table has none. */
  customer(name: string): CustomerRow | undefined;
}

/** Creates limits without any usage. */
export function createSharedLimits(parts: SharedLimitsParts): SharedLimits {
  const {members, incarnation, fleetSize} = parts;
  const {self} = members;
  const role = createAllocatorRole(members);
  const usages = new Map<string, CustomerUsage>();
  const lastRequestMs = new Map<string, number>();
  const allocator = createShareAllocator({self, role, fleetSize, limits});
  let nextCheckMs = 0;

  function limits(name: string): LimitAmounts | undefined {
    const row = parts.customer(name);
    return row && limitsOf(row);
  }

  function fallback(limits: LimitAmounts | undefined): LimitAmounts {
    const none = {requests: 0, tokens: 0, concurrency: 0};
    return fallbackShare(limits ?? none, fleetSize);
  }

  function admit(
    ctx: RouterContext,
    customer: CustomerRow,
    tokens: number,
  ): Result<void, LimitRefusal> {
    const total = limitsOf(customer);
    if (total.requests + total.tokens + total.concurrency === 0) {
      return Ok(undefined);
    }
    const {name} = customer;
    const ownFallback = fallback(total);
    const usage =
      usages.get(name) ?? createCustomerUsage(ctx.nowMs, ownFallback);
    usages.set(name, usage);
    const result = usage.admit(ctx.nowMs, total, ownFallback, tokens);
    if (isRequestDue(ctx, name, usage)) {
      requestShares(ctx, role.allocator(name), [name]);
    }
    if (!result.ok) {
      ctx.emit({
        kind: 'observe',
        metric: 'limit_refusals_total',
        labels: {customer: name, code: result.val.code},
        value: 1,
      });
    }
    return result;
  }

  function isRequestDue(
    ctx: RouterContext,
    name: string,
    usage: CustomerUsage,
  ): boolean {
    const askedMs = lastRequestMs.get(name) ?? -Infinity;
    return (
      ctx.nowMs >= askedMs + RESEND_INTERVAL_MS && usage.isShareDue(ctx.nowMs)
    );
  }

  function requestShares(
    ctx: RouterContext,
    to: string,
    names: string[],
  ): void {
    for (const name of names) lastRequestMs.set(name, ctx.nowMs);
    // Rounded down, so that the share expires here before the allocator stops
    // counting it.
    const askedMs = Math.floor(ctx.nowMs);
    const entries = names
      .filter(name => usages.has(name))
      .map(name => usages.get(name)!.demand(askedMs, name));
    const demand = {
      kind: 'limit_demand',
      incarnation,
      askedMs,
      entries,
    } as const;
    if (to !== self) {
      ctx.emit({kind: 'send_peer', to, message: demand});
      return;
    }
    const shares = allocator.grant(ctx.nowMs, self, demand);
    applyShares({kind: 'limit_share', incarnation, askedMs, entries: shares});
  }

  function applyShares(message: LimitShare): void {
    if (message.incarnation !== incarnation) return;
    for (const entry of message.entries) {
      usages.get(entry.customer)?.applyShare(message.askedMs, entry);
    }
  }

  function received(ctx: RouterContext, {from, message}: PeerReceived): void {
    if (message.kind === 'limit_share') applyShares(message);
    if (message.kind !== 'limit_demand') return;
    const entries = allocator.grant(ctx.nowMs, from, message);
    if (entries.length === 0) return;
    const {incarnation, askedMs} = message;
    const answer: LimitShare = {
      kind: 'limit_share',
      incarnation,
      askedMs,
      entries,
    };
    ctx.emit({kind: 'send_peer', to: from, message: answer});
  }

  function expire(ctx: RouterContext): void {
    if (ctx.nowMs < nextCheckMs) return;
    nextCheckMs = ctx.nowMs + CHECK_INTERVAL_MS;
    role.observe(ctx.nowMs);
    allocator.expire(ctx.nowMs);
    const byAllocator = new Map<string, string[]>();
    for (const [name, usage] of usages) {
      if (usage.refillAndCheckIdle(ctx.nowMs, fallback(limits(name)))) {
        usages.delete(name);
        lastRequestMs.delete(name);
      } else if (isRequestDue(ctx, name, usage)) {
        const to = role.allocator(name);
        byAllocator.set(to, [...(byAllocator.get(to) ?? []), name]);
      }
    }
    for (const [to, names] of byAllocator) requestShares(ctx, to, names);
  }

  return {
    admit,
    release: (_ctx, customer) => usages.get(customer)?.release(),
    amounts: (nowMs, customer) => {
      const own = fallback(limitsOf(customer));
      return usages.get(customer.name)?.amounts(nowMs, own) ?? own;
    },
    handlers: {peer_received: received},
    expire,
  };
}
