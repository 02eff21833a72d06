import type {EndpointGossip} from '../endpoints/endpoint_gossip.js';
import type {RouterContext} from '../router/router_context.js';
import {shuffled} from '../shared/shuffled.js';
import type {GossipExchange} from './gossip_exchange.js';
import type {MemberTable} from './member_table.js';

/** Limits the messages of a node to 15 a second. */
const PUSH_INTERVAL_MS = 200;
const FANOUT = 3;

/** Pushes urgent endpoint updates, since probes spread them too slowly. */
export interface GossipPusher {
  settle(ctx: RouterContext): void;
}

/** Creates a pusher; every node that learns an urgent update pushes it. */
export function createGossipPusher(
  table: MemberTable,
  exchange: GossipExchange,
  endpoints: EndpointGossip,
): GossipPusher {
  let lastPushMs = Number.NEGATIVE_INFINITY;

  function settle(ctx: RouterContext): void {
    if (
      ctx.nowMs - lastPushMs < PUSH_INTERVAL_MS ||
      !endpoints.hasUrgentUpdates()
    ) {
      return;
    }
    lastPushMs = ctx.nowMs;
    endpoints.urgentUpdatesSent();
    const members = shuffled(table.aliveOthers(), ctx.random);
    for (const {update} of members.slice(0, FANOUT)) {
      const gossip = exchange.write(ctx, update.address);
      ctx.emit({
        kind: 'send_peer',
        to: update.address,
        message: {kind: 'gossip_push', gossip},
      });
    }
  }

  return {settle};
}
