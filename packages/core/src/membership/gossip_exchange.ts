import type {EndpointGossip} from '../endpoints/endpoint_gossip.js';
import type {Gossip} from '../router/messages/gossip.js';
import type {MemberUpdate} from '../router/messages/member_update.js';
import type {RouterContext} from '../router/router_context.js';
import type {GossipQueue} from './gossip_queue.js';
import {gossipSends} from './gossip_sends.js';
import type {MemberTable} from './member_table.js';

/** The loss of a failure domain changes a third of the members at once. */
const MAX_MEMBERS_PER_MESSAGE = 12;

/** Writes and reads the gossip payload of membership messages. */
export interface GossipExchange {
  /** `outdated` tells the receiver that a later incarnation is known. */
  write(ctx: RouterContext, to: string, outdated?: boolean): Gossip;
  /** Returns false if the sender is an earlier incarnation of a member. */
  read(
    ctx: RouterContext,
    from: string,
    fromIncarnation: number,
    gossip: Gossip,
  ): boolean;
}

/** Dependencies of the gossip exchange. */
export interface GossipExchangeParts {
  table: MemberTable;
  updates: GossipQueue<MemberUpdate>;
  endpoints: EndpointGossip;
  tableNext(): number;
}

/** Creates the exchange of one router. */
export function createGossipExchange(
  parts: GossipExchangeParts,
): GossipExchange {
  const {table, updates, endpoints} = parts;

  function write(ctx: RouterContext, to: string, outdated = false): Gossip {
    const {failureDomain, refutation} = table.self();
    const sends = gossipSends(table.alive().length);
    const members = updates.take(ctx.nowMs, MAX_MEMBERS_PER_MESSAGE, sends);
    const receiver = table.get(to)?.update;
    // A suspect or dead receiver is always told, so that it can refute.
    const mustTellReceiver = outdated || receiver?.status !== 'alive';
    if (receiver && mustTellReceiver) members.push(receiver);
    return {
      failureDomain,
      refutation,
      tableNext: parts.tableNext(),
      members,
      ...endpoints.write(ctx, sends),
    };
  }

  function read(
    ctx: RouterContext,
    from: string,
    fromIncarnation: number,
    gossip: Gossip,
  ): boolean {
    const known = table.get(from)?.update.incarnation ?? 0;
    if (from === table.self().address || fromIncarnation < known) return false;
    table.apply(ctx, {
      address: from,
      failureDomain: gossip.failureDomain,
      incarnation: fromIncarnation,
      refutation: gossip.refutation,
      status: 'alive',
    });
    const sender = table.get(from);
    if (sender) sender.tableNext = gossip.tableNext;
    for (const update of gossip.members) table.apply(ctx, update);
    endpoints.read(ctx, gossip.endpoints, gossip.work);
    return true;
  }

  return {write, read};
}
