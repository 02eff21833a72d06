import type {GatewayContext} from '../gateway/gateway_context.js';
import {reportAdmission} from '../quarantine/report_quarantine.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {EndpointSelection} from '../spread/endpoint_selection.js';
import type {AttemptReservation} from '../tickets/attempt_reservation.js';
import type {MemoryReservations} from '../tickets/memory_reservations.js';
import {createAttemptStart, type AttemptStartParts} from './attempt_start.js';
import {choiceRequestOf} from './choice_request_of.js';
import type {ForwardedRequest} from './forwarded_request.js';
import type {PlannedStart} from './planned_start.js';
import type {RequestEnd} from './request_end.js';
import type {CustomerShares} from './customer_shares.js';
import {createCapacityWait} from './capacity_wait.js';
import {logRoute} from './route_log.js';
import {servesInTime, targetEndMs} from './serves_in_time.js';
import type {WaitingRequests} from './waiting_requests.js';

/** Planning a start does not pay for shorter waits. */
const MIN_PLANNED_WAIT_MS = 15;
/** Limit of postponements of a planned start whose engines are still busy. */
const MAX_POSTPONEMENTS = 6;
const MAX_POSTPONEMENT_MS = 150;
/** Pause before a request asks again whether another one's trial has ended. */
const TRIAL_CHECK_INTERVAL_MS = 25;
/** Sets of engines that are asked for a memory reservation per request. */
const MAX_RESERVATION_ROUNDS = 4;

/** Sends requests to endpoints: now, as planned, or once there is capacity. */
export interface Dispatcher {
  dispatch(ctx: GatewayContext, req: ForwardedRequest): void;
  /** Resumes a request that waits for its planned start or for capacity. */
  resume(ctx: GatewayContext, req: ForwardedRequest): void;
  /** All engines have reserved the memory for a request. */
  onMemoryReserved(
    ctx: GatewayContext,
    reqId: string,
    reservation: AttemptReservation,
  ): void;
  /** An engine refused to reserve memory. */
  onMemoryRefused(ctx: GatewayContext, reqId: string, engine: string): void;
}

/** Dependencies of the dispatcher. */
export interface DispatcherParts extends AttemptStartParts {
  requests: Map<string, ForwardedRequest>;
  selection: EndpointSelection;
  reservations: Pick<MemoryReservations, 'reserve' | 'release'>;
  waiting: WaitingRequests;
  end: RequestEnd;
  shares: CustomerShares;
}

/** Creates a dispatcher. */
export function createDispatcher(parts: DispatcherParts): Dispatcher {
  const {requests, configuration, selection, reservations, quarantine} = parts;
  const {waiting, end, shares} = parts;
  const {start, announceWork} = createAttemptStart(parts);
  const capacity = createCapacityWait(parts);

  function dispatch(ctx: GatewayContext, req: ForwardedRequest): void {
    const {nowMs} = ctx;
    const admission = quarantine.admit(ctx, req.suspect);
    if (admission === 'refuse') return end.fail(ctx, req, 'quarantined');
    if (admission === 'wait') return awaitTrial(ctx, req);
    const choice = choose(ctx, req, admission === 'trial');
    const allowance = (): number =>
      shares.allowance(nowMs, req.customer?.name ?? '');
    if (!choice || !servesInTime(nowMs, req, choice, allowance)) {
      return capacity.awaitOrRefuse(ctx, req, choice);
    }
    waiting.leave(req);
    if (choice.startInMs >= MIN_PLANNED_WAIT_MS)
      return planStart(ctx, req, choice);
    reserveOrStart(ctx, req, choice);
  }

  /** Another request with a suspected cause of this one is on an engine. */
  function awaitTrial(ctx: GatewayContext, req: ForwardedRequest): void {
    if (req.nextCapacityCheckMs === undefined)
      reportAdmission(ctx, req.reqId, req.arrived.sharedParts, 'wait');
    waiting.wait(req, ctx.nowMs + TRIAL_CHECK_INTERVAL_MS);
  }

  /** Prefers engines that no trial endangers; a trial, those with least work. */
  function choose(
    ctx: GatewayContext,
    req: ForwardedRequest,
    trial: boolean,
  ): EndpointChoice | undefined {
    const {nowMs, random} = ctx;
    const {service, failedEndpoints} = req;
    const wanted = choiceRequestOf(req, nowMs);
    const select = (avoid: ReadonlySet<string>): EndpointChoice | undefined =>
      selection.select(nowMs, service, wanted, avoid, random);
    const endangered = quarantine.endpointsOnTrial(nowMs);
    const busier = trial ? selection.busierEndpoints(service) : [];
    if (endangered.size === 0 && busier.length === 0) {
      return select(failedEndpoints);
    }
    const unsafe = new Set([...failedEndpoints, ...endangered]);
    const avoid = new Set([...unsafe, ...busier]);
    return select(avoid) ?? select(unsafe) ?? select(failedEndpoints);
  }

  /** Plans a start on engines that prefill other prompts first. */
  function planStart(
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
    // A start that is postponed beyond the target would miss it for certain.
    const mayWait = nowMs + MAX_POSTPONEMENT_MS < targetEndMs(req);
    const stillBusy = backlogMs >= MIN_PLANNED_WAIT_MS;
    if (stillBusy && planned.postponements < MAX_POSTPONEMENTS && mayWait) {
      planned.postponements += 1;
      planned.startMs = ctx.nowMs + Math.min(backlogMs, MAX_POSTPONEMENT_MS);
      return;
    }
    reserveOrStart(ctx, req, choice);
  }

  function reserveOrStart(
    ctx: GatewayContext,
    req: ForwardedRequest,
    choice: EndpointChoice,
  ): void {
    if (choice.helperTokens > 0) {
      if (req.plannedStart) req.plannedStart.startMs = Number.POSITIVE_INFINITY;
      reservations.reserve(ctx, req.reqId, choice);
    } else start(ctx, req, choice, '');
  }

  function onMemoryReserved(
    ctx: GatewayContext,
    reqId: string,
    reservation: AttemptReservation,
  ): void {
    const req = requests.get(reqId);
    if (!req) return reservations.release(ctx, reqId);
    const {choice, ticket} = reservation;
    if (selection.isUsable(ctx.nowMs, req.service, choice)) {
      return start(ctx, req, choice, ticket);
    }
    // An engine left, failed or asked for a pause while memory was reserved.
    end.cancelPlannedStart(req);
    reservations.release(ctx, reqId);
    dispatch(ctx, req);
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
    const exhausted = req.reservationRefusals >= MAX_RESERVATION_ROUNDS;
    if (exhausted) end.failUnserved(ctx, req);
    else dispatch(ctx, req);
  }

  return {
    dispatch,
    resume,
    onMemoryReserved,
    onMemoryRefused,
  };
}
