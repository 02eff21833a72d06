import type {EndpointGossip} from '../endpoints/endpoint_gossip.js';
import type {MemberDigest} from '../router/messages/member_digest.js';
import type {MemberList} from '../router/messages/member_list.js';
import type {MemberUpdate} from '../router/messages/member_update.js';
import type {RouterContext} from '../router/router_context.js';
import {hash32} from '../shared/hash32.js';
import {pick} from '../shared/pick.js';
import type {Contacts} from './contacts.js';
import type {GossipExchange} from './gossip_exchange.js';
import {isNewer} from './is_newer.js';
import {bucketOf, hashBuckets} from './member_buckets.js';
import type {MemberTable} from './member_table.js';

const DIGEST_INTERVAL_MS = 30_000;
/** Interval after a list with unknown members, such as when many start. */
const CATCH_UP_INTERVAL_MS = 5_000;
const CONTACT_INTERVAL_MS = 5_000;
/** Interval of contacts while no other member is known. */
const JOIN_INTERVAL_MS = 1_000;
/** Limits the digests while many members return at once. */
const RETURN_DIGEST_INTERVAL_MS = 10_000;

/** Synchronizes full states with other routers, and finds routers to join. */
export interface StateSync {
  expire(ctx: RouterContext): void;
  /** A member that was unknown, suspect or dead has sent a message. */
  memberReturned(ctx: RouterContext, from: string): void;
  digest(ctx: RouterContext, from: string, message: MemberDigest): void;
  list(ctx: RouterContext, from: string, message: MemberList): void;
}

/** Dependencies of the state synchronization. */
export interface StateSyncParts {
  table: MemberTable;
  contacts: Contacts;
  exchange: GossipExchange;
  endpoints: EndpointGossip;
}

/** Creates the state synchronization of one router. */
export function createStateSync(parts: StateSyncParts): StateSync {
  const {table, contacts, exchange, endpoints} = parts;
  let nextDigestMs: number | undefined;
  let lastReturnDigestMs = Number.NEGATIVE_INFINITY;
  let lastContactMs = Number.NEGATIVE_INFINITY;

  function expire(ctx: RouterContext): void {
    nextDigestMs ??= ctx.nowMs + ctx.random() * DIGEST_INTERVAL_MS;
    if (ctx.nowMs >= nextDigestMs) {
      nextDigestMs = ctx.nowMs + DIGEST_INTERVAL_MS;
      const member = pick(table.aliveOthers(), ctx.random);
      if (member) sendDigest(ctx, member.update.address);
    }
    const alone = table.aliveOthers().length === 0;
    const interval = alone ? JOIN_INTERVAL_MS : CONTACT_INTERVAL_MS;
    if (ctx.nowMs - lastContactMs < interval) return;
    lastContactMs = ctx.nowMs;
    const contact = contacts.next(ctx);
    if (contact !== undefined) sendDigest(ctx, contact);
  }

  /** Sends a digest, since updates were lost while contact was broken. */
  function memberReturned(ctx: RouterContext, from: string): void {
    if (ctx.nowMs - lastReturnDigestMs < RETURN_DIGEST_INTERVAL_MS) return;
    lastReturnDigestMs = ctx.nowMs;
    sendDigest(ctx, from);
  }

  function sendDigest(ctx: RouterContext, to: string): void {
    ctx.emit({
      kind: 'send_peer',
      to,
      message: {
        kind: 'member_digest',
        buckets: hashBuckets(liveUpdates()),
        endpointHash: hashEndpoints(),
        gossip: exchange.write(ctx, to),
      },
    });
  }

  function liveUpdates(): MemberUpdate[] {
    return [table.self(), ...table.aliveOthers().map(({update}) => update)];
  }

  function hashEndpoints(): number {
    return endpoints
      .leavingNotices()
      .map(notice => hash32(`${notice.endpoint}@${notice.incarnation}`))
      .reduce((sum, hash) => (sum + hash) >>> 0, 0);
  }

  function digest(
    ctx: RouterContext,
    from: string,
    message: MemberDigest,
  ): void {
    const differing = hashBuckets(liveUpdates()).flatMap((hash, bucket) =>
      hash === message.buckets[bucket] ? [] : [bucket],
    );
    const same = message.endpointHash === hashEndpoints();
    if (differing.length === 0 && same) return;
    sendList(ctx, from, differing, updatesIn(differing), true);
  }

  function list(ctx: RouterContext, from: string, message: MemberList): void {
    const theirs = new Map(message.members.map(u => [u.address, u]));
    const missing = updatesIn(message.buckets).filter(update => {
      const known = theirs.get(update.address);
      return !known || isNewer(update, known);
    });
    const sizeBefore = table.alive().length;
    for (const update of message.members) table.apply(ctx, update);
    if (table.alive().length > sizeBefore) {
      const soonMs = ctx.nowMs + CATCH_UP_INTERVAL_MS;
      nextDigestMs = Math.min(nextDigestMs ?? soonMs, soonMs);
    }
    endpoints.read(ctx, message.endpoints, []);
    if (message.wantsAnswer) {
      sendList(ctx, from, message.buckets, missing, false);
    }
  }

  function updatesIn(buckets: number[]): MemberUpdate[] {
    return [table.self(), ...table.others().map(({update}) => update)].filter(
      update => buckets.includes(bucketOf(update.address)),
    );
  }

  function sendList(
    ctx: RouterContext,
    to: string,
    buckets: number[],
    members: MemberUpdate[],
    wantsAnswer: boolean,
  ): void {
    ctx.emit({
      kind: 'send_peer',
      to,
      message: {
        kind: 'member_list',
        buckets,
        members,
        endpoints: endpoints.leavingNotices(),
        wantsAnswer,
        gossip: exchange.write(ctx, to),
      },
    });
  }

  return {expire, memberReturned, digest, list};
}
