import type {MemorySettled} from '../gateway/events/memory_settled.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {MemoryOrder} from './memory_order.js';
import type {EngineReservation} from './engine_reservation.js';
import type {AttemptReservation} from './attempt_reservation.js';

/**
 * Time after which an engine frees memory that nobody prolongs. It bounds how
 * long memory stays set aside after its gateway has died.
 */
const HOLD_MS = 3_500;
/** Pause between two orders that prolong the same memory. */
const PROLONG_INTERVAL_MS = 1_200;
/** An order whose answer is lost is sent again after this time. */
const REPEAT_INTERVAL_MS = 500;

/** Memory of several engines for prompts that no engine can hold alone. */
export interface MemoryReservations extends GatewayFeature {
  /** Sets memory aside for a request that is to run as chosen. */
  reserve(ctx: GatewayContext, reqId: string, choice: EndpointChoice): void;
  /** Frees what is set aside for a request. */
  release(ctx: GatewayContext, reqId: string): void;
}

/** What the reservations need. */
export interface MemoryReservationParts {
  /** Peer address of this gateway; makes ids unique. */
  self: string;
  incarnation: number;
  /** Everything is set aside: the request may start. */
  onReserved(
    ctx: GatewayContext,
    reqId: string,
    reservation: AttemptReservation,
  ): void;
  /** The engine would not set memory aside; everything was freed. */
  onRefused(ctx: GatewayContext, reqId: string, engine: string): void;
}

/** Creates an empty set of reservations. */
export function createMemoryReservations(
  parts: MemoryReservationParts,
): MemoryReservations {
  const reservations = new Map<string, AttemptReservation>();
  let begun = 0;

  function reserve(
    ctx: GatewayContext,
    reqId: string,
    choice: EndpointChoice,
  ): void {
    begun += 1;
    const ticket = `${parts.self}/${parts.incarnation}/${begun}`.replace(
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
      const holding: EngineReservation = {
        engine,
        tokens: choice.helperTokens,
        state: 'wanted',
        orderedMs: ctx.nowMs,
      };
      reservation.engines.set(engine.id, holding);
      order(ctx, reservation, holding, 'reserve');
    }
  }

  function order(
    ctx: GatewayContext,
    reservation: AttemptReservation,
    holding: EngineReservation,
    kind: MemoryOrder,
  ): void {
    holding.orderedMs = ctx.nowMs;
    ctx.emit({
      kind: 'order_memory',
      ticket: reservation.ticket,
      endpoint: holding.engine.id,
      address: holding.engine.address,
      order: kind,
      tokens: holding.tokens,
      holdMs: HOLD_MS,
    });
  }

  function settled(ctx: GatewayContext, event: MemorySettled): void {
    const reservation = [...reservations.values()].find(
      ({ticket}) => ticket === event.ticket,
    );
    const holding = reservation?.engines.get(event.endpoint);
    if (!reservation || !holding) return;
    if (event.answer === 'done') {
      if (holding.state === 'held') return;
      holding.state = 'held';
      return startIfComplete(ctx, reservation);
    }
    report(ctx, reservation, holding, event.answer);
    if (reservation.attemptStarted) {
      // The request is cut off by the engine if the memory is lost. An engine
      // that refuses connections answers at once, so it is asked later.
      if (event.answer === 'unknown') holding.state = 'wanted';
      return;
    }
    release(ctx, reservation.reqId);
    parts.onRefused(ctx, reservation.reqId, event.endpoint);
  }

  function startIfComplete(
    ctx: GatewayContext,
    reservation: AttemptReservation,
  ): void {
    const holdings = [...reservation.engines.values()];
    if (
      reservation.attemptStarted ||
      holdings.some(({state}) => state !== 'held')
    )
      return;
    reservation.attemptStarted = true;
    parts.onReserved(ctx, reservation.reqId, reservation);
  }

  function report(
    ctx: GatewayContext,
    reservation: AttemptReservation,
    holding: EngineReservation,
    answer: string,
  ): void {
    const {reqId, attemptStarted: used} = reservation;
    const {engine, tokens} = holding;
    const fields = {reqId, endpoint: engine.id, tokens, answer, used};
    ctx.emit({kind: 'write_log', event: 'WL8401', fields});
  }

  function expire(ctx: GatewayContext): void {
    for (const reservation of reservations.values()) {
      for (const holding of reservation.engines.values()) {
        const pauseMs =
          holding.state === 'held' ? PROLONG_INTERVAL_MS : REPEAT_INTERVAL_MS;
        if (ctx.nowMs - holding.orderedMs < pauseMs) continue;
        order(ctx, reservation, holding, 'reserve');
      }
    }
  }

  function release(ctx: GatewayContext, reqId: string): void {
    const reservation = reservations.get(reqId);
    if (!reservation) return;
    reservations.delete(reqId);
    for (const holding of reservation.engines.values()) {
      order(ctx, reservation, holding, 'release');
    }
  }

  return {handlers: {memory_settled: settled}, expire, reserve, release};
}
