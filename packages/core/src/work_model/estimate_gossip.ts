import type {FleetMembers} from '../fleet/fleet_members.js';
import type {PeerReceived} from '../gateway/events/peer_received.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import {ESTIMATE_TABLES} from './estimate_table.js';
import type {WorkEstimate} from './work_estimate.js';
import type {WorkTables} from './work_tables.js';

/** Pause between two messages to a random peer. */
const SHARE_INTERVAL_MS = 2_000;
/** Pause between two requests of a gateway that has just started. */
const REQUEST_INTERVAL_MS = 500;
/** Requests after which it relies on its own observations. */
const MAX_REQUESTS = 4;
/** Estimates in one message, so that it fits in a datagram. */
const MAX_ESTIMATES = 24;
/** Messages that answer one request. */
const MAX_ANSWERS = 8;

/** Dependencies of the exchange of estimates. */
export interface EstimateGossipParts {
  tables: WorkTables;
  members: Pick<FleetMembers, 'aliveAddresses'>;
}

/**
 * Tells one random peer at a time what was observed lately, and asks one for
 * everything after the start. Lost messages only delay what is learned.
 */
export function createEstimateGossip(
  parts: EstimateGossipParts,
): GatewayFeature {
  const {tables, members} = parts;
  let nextMs = Number.NEGATIVE_INFINITY;
  let requestsLeft = MAX_REQUESTS;

  function expire(ctx: GatewayContext): void {
    if (ctx.nowMs < nextMs) return;
    const alive = members.aliveAddresses(ctx.nowMs);
    const peer = alive[Math.floor(ctx.random() * alive.length)];
    const asking = requestsLeft > 0;
    nextMs = ctx.nowMs + (asking ? REQUEST_INTERVAL_MS : SHARE_INTERVAL_MS);
    if (peer === undefined) return;
    if (asking) requestsLeft -= 1;
    const estimates = changed();
    if (asking || estimates.length > 0) send(ctx, peer, estimates, asking);
  }

  /** What was observed here since the last message. */
  function changed(): WorkEstimate[] {
    const share = Math.floor(MAX_ESTIMATES / ESTIMATE_TABLES.length);
    return ESTIMATE_TABLES.flatMap(table =>
      tables[table].takeChanged(share).map(key => estimateOf(table, key)),
    );
  }

  function estimateOf(table: WorkEstimate['table'], key: string): WorkEstimate {
    const known = tables[table].get(key);
    return {table, key, ...(known ?? {mean: 0, variance: 0, weight: 0})};
  }

  function send(
    ctx: GatewayContext,
    to: string,
    estimates: WorkEstimate[],
    wantsAll: boolean,
  ): void {
    const message = {kind: 'work_estimates', wantsAll, estimates} as const;
    ctx.emit({kind: 'send_peers', to: [to], message});
  }

  /** Sends the most recently observed estimates. */
  function sendAll(ctx: GatewayContext, to: string): void {
    const all = ESTIMATE_TABLES.flatMap(table =>
      [...tables[table].keys()].map(key => estimateOf(table, key)),
    );
    const newest = all.slice(-MAX_ESTIMATES * MAX_ANSWERS);
    for (let i = 0; i < newest.length; i += MAX_ESTIMATES) {
      send(ctx, to, newest.slice(i, i + MAX_ESTIMATES), false);
    }
  }

  function received(ctx: GatewayContext, {from, message}: PeerReceived): void {
    if (message.kind !== 'work_estimates') return;
    const {estimates, wantsAll} = message;
    for (const {table, key, ...estimate} of estimates) {
      if (estimate.weight > 0) tables[table].merge(key, estimate);
    }
    if (wantsAll) sendAll(ctx, from);
    else if (estimates.length > 0) requestsLeft = 0;
  }

  return {handlers: {peer_received: received}, expire};
}
