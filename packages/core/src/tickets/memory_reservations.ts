import type {EndpointHints} from '../endpoint_hints/endpoint_hints.js';
import type {MemorySettled} from '../gateway/events/memory_settled.js';
import type {PeerReceived} from '../gateway/events/peer_received.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';
import {HOLD_MS} from './hold_time.js';
import type {MemoryOrder} from './memory_order.js';
import type {EngineReservation} from './engine_reservation.js';
import type {AttemptReservation} from './attempt_reservation.js';

/** Interval of the renewals of a reservation. */
const RENEW_INTERVAL_MS = 1_200;
/** An order without an answer is sent again after this time. */
const RETRY_INTERVAL_MS = 500;

/** Memory reservations on engines for prompts that one engine cannot hold. */
export interface MemoryReservations extends GatewayFeature {
  /** Reserves memory on the helpers of a choice for a request. */
  reserve(ctx: GatewayContext, reqId: string, choice: EndpointChoice): void;
  /** Releases the reservation of a request. */
  release(ctx: GatewayContext, reqId: string): void;
}

/** Dependencies of the reservations. */
export interface MemoryReservationParts {
  /** Peer address of this gateway; makes ids unique. */
  self: string;
  incarnation: number;
  /** Whether an engine wants no orders of this gateway now. */
  isPaused(engine: EndpointEntry, nowMs: number): boolean;
  /** Peer addresses of the other gateways. */
  peers(nowMs: number): readonly string[];
  /** An engine's answer says something about the engine. */
  onHints(
    ctx: GatewayContext,
    engine: EndpointEntry,
    hints: EndpointHints,
  ): void;
  /** All engines have confirmed: the attempt may start. */
  onReserved(
    ctx: GatewayContext,
    reqId: string,
    reservation: AttemptReservation,
  ): void;
  /** The engine refused or did not answer; the reservation was released. */
  onRefused(ctx: GatewayContext, reqId: string, engine: string): void;
}

/** Creates an empty set of reservations. */
export function createMemoryReservations(
  parts: MemoryReservationParts,
): MemoryReservations {
  const reservations = new Map<string, AttemptReservation>();
  let lastNumber = 0;
  let lastPeer = 0;

  function reserve(
    ctx: GatewayContext,
    reqId: string,
    choice: EndpointChoice,
  ): void {
    lastNumber += 1;
    const ticket = `${parts.self}/${parts.incarnation}/${lastNumber}`.replace(
      /[^0-9]/g,
      '-',
    );
    const reservation: AttemptReservation = {
      reqId,
      ticket,
      choice,
      engines: new Map(),
      attemptStarted: false,
    };
    reservations.set(reqId, reservation);
    for (const engine of choice.helpers) {
      const part: EngineReservation = {
        engine,
        tokens: choice.helperTokens,
        state: 'pending',
        orderedMs: ctx.nowMs,
      };
      reservation.engines.set(engine.id, part);
      order(ctx, reservation, part, 'reserve');
    }
  }

  function order(
    ctx: GatewayContext,
    reservation: AttemptReservation,
    part: EngineReservation,
    kind: MemoryOrder,
  ): void {
    part.orderedMs = ctx.nowMs;
    ctx.emit({
      kind: 'order_memory',
      ticket: reservation.ticket,
      endpoint: part.engine.id,
      address: part.engine.address,
      order: kind,
      tokens: part.tokens,
      holdMs: HOLD_MS,
    });
  }

  /** Renews a reservation; a peer does it while the engine is paused. */
  function renew(
    ctx: GatewayContext,
    reservation: AttemptReservation,
    part: EngineReservation,
  ): void {
    if (!parts.isPaused(part.engine, ctx.nowMs)) {
      return order(ctx, reservation, part, 'reserve');
    }
    part.orderedMs = ctx.nowMs;
    const peers = parts.peers(ctx.nowMs);
    if (peers.length === 0) return;
    lastPeer += 1;
    const peer = peers[lastPeer % peers.length]!;
    // Until the peer confirms, another one is asked soon.
    part.state = 'pending';
    const {ticket} = reservation;
    const {engine, tokens} = part;
    const kind = 'memory_renewal';
    const message = {kind, ticket, endpoint: engine.id, tokens} as const;
    ctx.emit({kind: 'send_peers', to: [peer], message});
  }

  function onPeer(ctx: GatewayContext, {message}: PeerReceived): void {
    if (message.kind !== 'memory_renewed') return;
    const part = find(message.ticket)?.engines.get(message.endpoint);
    if (part) part.state = 'confirmed';
  }

  function find(ticket: string): AttemptReservation | undefined {
    return [...reservations.values()].find(known => known.ticket === ticket);
  }

  function onSettled(ctx: GatewayContext, event: MemorySettled): void {
    const reservation = find(event.ticket);
    const part = reservation?.engines.get(event.endpoint);
    if (!reservation || !part) return;
    parts.onHints(ctx, part.engine, event.hints);
    if (event.answer === 'done') {
      if (part.state === 'confirmed') return;
      part.state = 'confirmed';
      return startIfComplete(ctx, reservation);
    }
    report(ctx, reservation, part, event.answer);
    if (reservation.attemptStarted) {
      // The engine aborts the request itself if its memory is lost. Orders fail
      // at once where connections are refused, so the next one is sent later.
      if (event.answer === 'unknown') part.state = 'pending';
      return;
    }
    release(ctx, reservation.reqId);
    parts.onRefused(ctx, reservation.reqId, event.endpoint);
  }

  function startIfComplete(
    ctx: GatewayContext,
    reservation: AttemptReservation,
  ): void {
    const engines = [...reservation.engines.values()];
    if (
      reservation.attemptStarted ||
      engines.some(({state}) => state !== 'confirmed')
    )
      return;
    reservation.attemptStarted = true;
    parts.onReserved(ctx, reservation.reqId, reservation);
  }

  function report(
    ctx: GatewayContext,
    reservation: AttemptReservation,
    part: EngineReservation,
    answer: string,
  ): void {
    const {reqId, attemptStarted: used} = reservation;
    const {engine, tokens} = part;
    const fields = {reqId, endpoint: engine.id, tokens, answer, used};
    ctx.emit({kind: 'write_log', event: 'WL8401', fields});
  }

  function isOrderDue(nowMs: number, part: EngineReservation): boolean {
    const pending = part.state === 'pending';
    const intervalMs = pending ? RETRY_INTERVAL_MS : RENEW_INTERVAL_MS;
    return nowMs - part.orderedMs >= intervalMs;
  }

  function expire(ctx: GatewayContext): void {
    for (const reservation of reservations.values()) {
      for (const part of reservation.engines.values()) {
        if (isOrderDue(ctx.nowMs, part)) renew(ctx, reservation, part);
      }
    }
  }

  function release(ctx: GatewayContext, reqId: string): void {
    const reservation = reservations.get(reqId);
    if (!reservation) return;
    reservations.delete(reqId);
    for (const part of reservation.engines.values()) {
      order(ctx, reservation, part, 'release');
    }
  }

  return {
    handlers: {memory_settled: onSettled, peer_received: onPeer},
    expire,
    reserve,
    release,
  };
}
