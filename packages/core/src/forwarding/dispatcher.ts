import type {GatewayContext} from '../gateway/gateway_context.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {EndpointSelection} from '../spread/endpoint_selection.js';
import type {AttemptReservation} from '../tickets/attempt_reservation.js';
import type {MemoryReservations} from '../tickets/memory_reservations.js';
import {createAttemptStart, type AttemptStartParts} from './attempt_start.js';
import {choiceRequestOf} from './choice_request_of.js';
import type {ForwardedRequest} from './forwarded_request.js';
import type {PlannedStart} from './planned_start.js';
import type {RequestEnd} from './request_end.js';
import {capacityWaitEndMs} from './capacity_wait.js';
import {logNoRoute, logRoute} from './route_log.js';
import {servesInTime, targetEndMs} from './serves_in_time.js';

/** A shorter wait for engines is not worth it. */
const LEAST_WAIT_MS = 15;
/** A planned start is put off this often if its engines take longer. */
const MAX_POSTPONEMENTS = 6;
const LONGEST_DELAY_MS = 150;
/** Sets of engines that are asked to set memory aside for one request. */
const MAX_MEMORY_ROUNDS = 4;

/** Pause between two looks for room, which cost processor time. */
const CAPACITY_CHECK_INTERVAL_MS = 50;

/** Sends requests to endpoints, at once, in turn or once there is room. */
export interface Dispatcher {
  dispatch(ctx: GatewayContext, req: ForwardedRequest): void;
  /** Goes on with a request that waits for its turn or for room. */
  resume(ctx: GatewayContext, req: ForwardedRequest): void;
  /** All memory of a request is set aside. */
  onMemoryReserved(
    ctx: GatewayContext,
    reqId: string,
    reservation: AttemptReservation,
  ): void;
  /** An engine would not set memory aside. */
  onMemoryRefused(ctx: GatewayContext, reqId: string, engine: string): void;
}

/** What the dispatcher works on. */
export interface DispatcherParts extends AttemptStartParts {
  requests: Map<string, ForwardedRequest>;
  selection: EndpointSelection;
  tickets: Pick<MemoryReservations, 'reserve' | 'release'>;
  end: RequestEnd;
}

/** Creates a dispatcher. */
export function createDispatcher(parts: DispatcherParts): Dispatcher {
  const {requests, configuration, selection, tickets, end} = parts;
  const {start, announceWork} = createAttemptStart(parts);

  function dispatch(ctx: GatewayContext, req: ForwardedRequest): void {
    const {nowMs, random} = ctx;
    const wanted = choiceRequestOf(req, nowMs);
    const {service, failedEndpoints} = req;
    const choice = selection.select(
      nowMs,
      service,
      wanted,
      failedEndpoints,
      random,
    );
    if (!choice || !servesInTime(nowMs, req, choice)) {
      return awaitRoom(ctx, req, choice);
    }
    req.nextCapacityCheckMs = undefined;
    if (choice.startInMs >= LEAST_WAIT_MS) return plan(ctx, req, choice);
    begin(ctx, req, choice);
  }

  /**
   * Keeps a request for a while for which no endpoint has room.
   * @param slow the best choice, where that cannot serve it in time
   */
  function awaitRoom(
    ctx: GatewayContext,
    req: ForwardedRequest,
    slow: EndpointChoice | undefined,
  ): void {
    const {nowMs} = ctx;
    if (req.nextCapacityCheckMs === undefined) {
      const pool = selection.pool(nowMs, req.service);
      logNoRoute(ctx, req, pool, slow, configuration.version());
    }
    const waitEndMs = capacityWaitEndMs(req);
    if (nowMs >= waitEndMs) return end.failUnserved(ctx, req);
    req.nextCapacityCheckMs = Math.min(
      nowMs + CAPACITY_CHECK_INTERVAL_MS,
      waitEndMs,
    );
  }

  /** Takes a turn on engines that read other prompts first. */
  function plan(
    ctx: GatewayContext,
    req: ForwardedRequest,
    choice: EndpointChoice,
  ): void {
    const startMs = ctx.nowMs + choice.startInMs;
    const work = announceWork(ctx, req, choice, startMs);
    req.plannedStart = {choice, startMs, work, postponements: 0};
    logRoute(ctx, req, choice, 'WL8305', configuration.version());
  }

  function resume(ctx: GatewayContext, req: ForwardedRequest): void {
    if (req.plannedStart) startPlanned(ctx, req, req.plannedStart);
    else if (
      ctx.nowMs >= (req.nextCapacityCheckMs ?? Number.POSITIVE_INFINITY)
    ) {
      dispatch(ctx, req);
    }
  }

  function startPlanned(
    ctx: GatewayContext,
    req: ForwardedRequest,
    planned: PlannedStart,
  ): void {
    if (ctx.nowMs < planned.startMs) return;
    const {choice} = planned;
    if (!selection.isUsable(ctx.nowMs, req.service, choice)) {
      end.cancelPlannedStart(req);
      return dispatch(ctx, req);
    }
    const {nowMs} = ctx;
    const own = planned.work;
    const backlogMs = selection.backlogMs(nowMs, req.service, choice, own);
    // A request that is kept beyond its target loses its worth in any case.
    const mayWait = nowMs + LONGEST_DELAY_MS < targetEndMs(req);
    const stillBusy = backlogMs >= LEAST_WAIT_MS;
    if (stillBusy && planned.postponements < MAX_POSTPONEMENTS && mayWait) {
      planned.postponements += 1;
      planned.startMs = ctx.nowMs + Math.min(backlogMs, LONGEST_DELAY_MS);
      return;
    }
    begin(ctx, req, choice);
  }

  function begin(
    ctx: GatewayContext,
    req: ForwardedRequest,
    choice: EndpointChoice,
  ): void {
    if (choice.helperTokens > 0) {
      if (req.plannedStart) req.plannedStart.startMs = Number.POSITIVE_INFINITY;
      tickets.reserve(ctx, req.reqId, choice);
    } else start(ctx, req, choice, '');
  }

  function onMemoryReserved(
    ctx: GatewayContext,
    reqId: string,
    reservation: AttemptReservation,
  ): void {
    const req = requests.get(reqId);
    if (req) start(ctx, req, reservation.choice, reservation.ticket);
    else tickets.release(ctx, reqId);
  }

  function onMemoryRefused(
    ctx: GatewayContext,
    reqId: string,
    engine: string,
  ): void {
    const req = requests.get(reqId);
    if (!req) return;
    end.cancelPlannedStart(req);
    req.failedEndpoints.add(engine);
    req.reservationRefusals += 1;
    const over = req.reservationRefusals >= MAX_MEMORY_ROUNDS;
    if (over) end.failUnserved(ctx, req);
    else dispatch(ctx, req);
  }

  return {
    dispatch,
    resume,
    onMemoryReserved,
    onMemoryRefused,
  };
}
