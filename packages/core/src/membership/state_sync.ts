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
import type {MemberTable} from './member_table.js';

const DIGEST_INTERVAL_MS = 30_000;
const CONTACT_INTERVAL_MS = 5_000;
/** Interval of contacts while no other member is known. */
const JOIN_INTERVAL_MS = 1_000;

/** Compares whole states with other routers, and finds routers to join. */
export interface StateSync {
  expire(ctx: RouterContext): void;
  digest(ctx: RouterContext, from: string, message: MemberDigest): void;
  list(ctx: RouterContext, from: string, message: MemberList): void;
}

/** What the synchronisation works with. */
export interface StateSyncParts {
  table: MemberTable;
  contacts: Contacts;
  exchange: GossipExchange;
  endpoints: EndpointGossip;
}

/** Creates the synchronisation of one router. */
export function createStateSync(parts: StateSyncParts): StateSync {
  const {table, contacts, exchange, endpoints} = parts;
  let nextDigestMs: number | undefined;
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

  function sendDigest(ctx: RouterContext, to: string): void {
    const gossip = exchange.write(ctx, to);
    const message = {kind: 'member_digest', hash: stateHash(), gossip} as const;
    ctx.emit({kind: 'send_peer', to, message});
  }

  /** A sum, so that the order of members does not matter. */
  function stateHash(): number {
    let sum = 0;
    for (const {update} of table.aliveOthers()) sum += hashMember(update);
    sum += hashMember(table.self());
    for (const notice of endpoints.active()) {
      sum += hash32(`${notice.endpoint}@${notice.incarnation}`);
    }
    return sum;
  }

  function digest(
    ctx: RouterContext,
    from: string,
    message: MemberDigest,
  ): void {
    if (message.hash === stateHash()) return;
    sendList(ctx, from, allUpdates(), true);
  }

  function list(ctx: RouterContext, from: string, message: MemberList): void {
    const theirs = new Map(message.members.map(u => [u.address, u]));
    const lacking = allUpdates().filter(update => {
      const known = theirs.get(update.address);
      return !known || isNewer(update, known);
    });
    for (const update of message.members) table.apply(ctx, update);
    endpoints.read(ctx, message.endpoints, []);
    if (message.wantsAnswer) sendList(ctx, from, lacking, false);
  }

  function allUpdates(): MemberUpdate[] {
    return [table.self(), ...table.others().map(member => member.update)];
  }

  function sendList(
    ctx: RouterContext,
    to: string,
    members: MemberUpdate[],
    wantsAnswer: boolean,
  ): void {
    ctx.emit({
      kind: 'send_peer',
      to,
      message: {
        kind: 'member_list',
        members,
        endpoints: endpoints.active(),
        wantsAnswer,
        gossip: exchange.write(ctx, to),
      },
    });
  }

  return {expire, digest, list};
}

function hashMember(update: MemberUpdate): number {
  const {address, incarnation, refutation} = update;
  return hash32(`${address}#${incarnation}.${refutation}`);
}
