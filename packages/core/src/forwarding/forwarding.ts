import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {EndpointHealth} from '../endpoint_health/endpoint_health.js';
import type {FleetGossip} from '../fleet/fleet_gossip.js';
import type {Work} from '../fleet/work.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {AnswerReceived} from '../gateway/events/answer_received.js';
import type {AttemptFailed} from '../gateway/events/attempt_failed.js';
import type {CallerLeft} from '../gateway/events/caller_left.js';
import type {PieceReceived} from '../gateway/events/piece_received.js';
import type {RequestArrived} from '../gateway/events/request_arrived.js';
import type {StreamEnded} from '../gateway/events/stream_ended.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import type {EndpointSelection} from '../spread/endpoint_selection.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {AttemptFailure} from '../types/attempt_failure.js';
import {notePace} from './note_pace.js';
import {admitRequest} from './admission.js';
import {choiceRequestOf} from './choice_request_of.js';
import type {CurrentAttempt} from './current_attempt.js';
import type {ForwardedRequest} from './forwarded_request.js';
import type {Refusal} from './refusal.js';
import {refuse, reportEnd} from './report_end.js';
import type {RetryAllowance} from './retry_allowance.js';
import {retryDenial} from './retry_denial.js';
import {silenceLimitMs} from './silence_limit.js';
import {startAttemptOf} from './start_attempt_of.js';
import type {TicketSet} from '../tickets/ticket_set.js';
import {createTickets} from '../tickets/tickets.js';

/** When a caller whose request found no endpoint may come back. */
const RETRY_AFTER_MS = 250;
const SERVER_ERROR_STATUS = 500;
/** Pieces of a stream from which the pace of an engine is taken. */
const PIECES_PER_PACE = 6;
/** A shorter wait for engines is not worth it. */
const LEAST_WAIT_MS = 15;
/** A planned start is put off this often if its engines take longer. */
const MAX_DELAYS = 6;
const LONGEST_DELAY_MS = 150;
/** Sets of engines that are asked to set memory aside for one request. */
const MAX_MEMORY_ROUNDS = 4;

/** Requests from their arrival to their final answer. */
export interface Forwarding extends GatewayFeature {
  inFlight(): number;
  /** Ends everything that is in flight. */
  cutAll(ctx: GatewayContext): void;
}

/** What the forwarding works on. */
export interface ForwardingParts {
  configuration: PublishedConfiguration;
  selection: EndpointSelection;
  health: EndpointHealth;
  members: FleetMembers;
  gossip: FleetGossip;
  allowance: RetryAllowance;
  /** Id of an endpoint by its id or address; undefined if unknown. */
  endpointNamed(name: string): string | undefined;
  /** Why no request is taken now; undefined if requests are taken. */
  closed(): Refusal | undefined;
  /** Peer address of this gateway. */
  self: string;
  incarnation: number;
}

/** Creates a forwarding without requests. */
export function createForwarding(parts: ForwardingParts): Forwarding {
  const {configuration, selection, health, members, gossip, allowance} = parts;
  const requests = new Map<string, ForwardedRequest>();
  let works = 0;
  const tickets = createTickets({
    self: parts.self,
    incarnation: parts.incarnation,
    ready: memoryReady,
    refused: memoryRefused,
  });

  function arrived(ctx: GatewayContext, event: RequestArrived): void {
    const closed = parts.closed();
    if (closed) return refuse(ctx, event.reqId, closed, RETRY_AFTER_MS);
    const {nowMs, random} = ctx;
    const admitted = admitRequest(configuration, event, nowMs, random);
    if (!admitted.ok) return refuse(ctx, event.reqId, admitted.val, undefined);
    const req = admitted.val;
    requests.set(req.reqId, req);
    allowance.requested(nowMs, req.service);
    dispatch(ctx, req);
  }

  function dispatch(ctx: GatewayContext, req: ForwardedRequest): void {
    const {nowMs, random} = ctx;
    const wanted = choiceRequestOf(req, nowMs);
    const {service, failedAt} = req;
    const choice = selection.select(nowMs, service, wanted, failedAt, random);
    if (!choice) return giveUp(ctx, req, 'overloaded');
    if (choice.startInMs >= LEAST_WAIT_MS) return plan(ctx, req, choice);
    begin(ctx, req, choice);
  }

  /** Takes a turn on engines that read other prompts first. */
  function plan(
    ctx: GatewayContext,
    req: ForwardedRequest,
    choice: EndpointChoice,
  ): void {
    const startMs = ctx.nowMs + choice.startInMs;
    const work = tellWork(ctx, req, choice, startMs);
    req.planned = {choice, startMs, work, delays: 0};
    logRoute(ctx, req, choice, 'WL8305');
  }

  function startPlanned(ctx: GatewayContext, req: ForwardedRequest): void {
    const {planned} = req;
    if (!planned || ctx.nowMs < planned.startMs) return;
    const {choice} = planned;
    if (!selection.usable(ctx.nowMs, req.service, choice)) {
      dropPlan(req);
      return dispatch(ctx, req);
    }
    const {nowMs} = ctx;
    const own = planned.work;
    const busyMs = selection.busyMs(nowMs, req.service, choice, own);
    if (busyMs >= LEAST_WAIT_MS && planned.delays < MAX_DELAYS) {
      planned.delays += 1;
      planned.startMs = ctx.nowMs + Math.min(busyMs, LONGEST_DELAY_MS);
      return;
    }
    begin(ctx, req, choice);
  }

  function dropPlan(req: ForwardedRequest): void {
    if (req.planned) gossip.ended(req.planned.work.work);
    req.planned = undefined;
  }

  function begin(
    ctx: GatewayContext,
    req: ForwardedRequest,
    choice: EndpointChoice,
  ): void {
    if (choice.helperTokens > 0) {
      if (req.planned) req.planned.startMs = Number.POSITIVE_INFINITY;
      tickets.begin(ctx, req.reqId, choice);
    } else start(ctx, req, choice, '');
  }

  function memoryReady(
    ctx: GatewayContext,
    reqId: string,
    set: TicketSet,
  ): void {
    const req = requests.get(reqId);
    if (req) start(ctx, req, set.choice, set.ticket);
    else tickets.release(ctx, reqId);
  }

  function memoryRefused(
    ctx: GatewayContext,
    reqId: string,
    engine: string,
  ): void {
    const req = requests.get(reqId);
    if (!req) return;
    dropPlan(req);
    req.failedAt.add(engine);
    req.refusedRounds += 1;
    if (req.refusedRounds >= MAX_MEMORY_ROUNDS) giveUp(ctx, req, 'overloaded');
    else dispatch(ctx, req);
  }

  function start(
    ctx: GatewayContext,
    req: ForwardedRequest,
    choice: EndpointChoice,
    ticket: string,
  ): void {
    const {nowMs} = ctx;
    const work = req.planned?.work ?? tellWork(ctx, req, choice, nowMs);
    req.planned = undefined;
    req.attempts += 1;
    req.history.started();
    req.current = {
      attempt: req.attempts,
      choice,
      work: work.work,
      startedMs: nowMs,
      progressMs: nowMs,
      shortestGapMs: Number.POSITIVE_INFINITY,
      pieces: 0,
    };
    health.tried(choice.main.id, nowMs);
    ctx.emit(
      startAttemptOf(req, choice, ticket, maxConnections(nowMs, req), nowMs),
    );
    logRoute(ctx, req, choice, 'WL8301');
  }

  /** Tells peers of work that is or will be sent to endpoints. */
  function tellWork(
    ctx: GatewayContext,
    req: ForwardedRequest,
    choice: EndpointChoice,
    startedMs: number,
  ): Work {
    works += 1;
    const {promptTokens, outputTokens, dueInMs, gapMs} = choiceRequestOf(
      req,
      ctx.nowMs,
    );
    const work: Work = {
      member: parts.self,
      work: works,
      main: choice.main.id,
      helpers: choice.helpers.map(({id}) => id),
      shared: choice.helperTokens > 0,
      promptTokens,
      outputTokens,
      dueMs: ctx.nowMs + dueInMs,
      gapMs,
      startedMs,
      writing: false,
    };
    gossip.started(work);
    return work;
  }

  function logRoute(
    ctx: GatewayContext,
    req: ForwardedRequest,
    choice: EndpointChoice,
    event: 'WL8301' | 'WL8305',
  ): void {
    const {promptTokens, dueInMs} = choiceRequestOf(req, ctx.nowMs);
    ctx.emit({
      kind: 'write_log',
      event,
      fields: {
        reqId: req.reqId,
        route: req.route.name,
        attempt: req.attempts,
        endpoint: choice.main.id,
        helpers: choice.helpers.length,
        helperIds: choice.helpers.map(({id}) => id).join(' '),
        promptTokens,
        dueInMs: Math.round(dueInMs),
        startInMs: choice.startInMs,
        expectedMs: choice.expectedMs,
        loss: choice.loss,
        version: configuration.version(),
        reason: choice.reason,
      },
    });
  }

  function maxConnections(nowMs: number, req: ForwardedRequest): number {
    const limit = configuration.service(req.service)?.connectionLimit ?? 0;
    return Math.max(1, Math.floor(limit / members.size(nowMs)));
  }

  function currentOf(
    reqId: string,
    attempt: number,
  ): {req: ForwardedRequest; current: CurrentAttempt} | undefined {
    const req = requests.get(reqId);
    if (!req?.current || req.current.attempt !== attempt) return undefined;
    return {req, current: req.current};
  }

  function piece(ctx: GatewayContext, event: PieceReceived): void {
    const found = currentOf(event.reqId, event.attempt);
    if (!found) return;
    const {req, current} = found;
    const {progressMs} = current;
    current.progressMs = ctx.nowMs;
    if (event.piece <= req.lastPiece) return;
    if (event.piece !== req.lastPiece + 1) {
      ctx.emit({
        kind: 'cancel_attempt',
        reqId: req.reqId,
        attempt: event.attempt,
      });
      return attemptFailed(ctx, req, current, 'broken', 'piece missing');
    }
    if (current.pieces === 0) firstPiece(ctx, current);
    else notePause(current, ctx.nowMs - progressMs);
    current.pieces += 1;
    req.lastPiece = event.piece;
    notePace(req, ctx.nowMs);
    beginStream(ctx, req, event.attempt);
    ctx.emit({kind: 'deliver_piece', reqId: req.reqId, payload: event.payload});
  }

  function firstPiece(ctx: GatewayContext, current: CurrentAttempt): void {
    gossip.writing(current.work);
    health.succeeded(current.choice.main.id, ctx.nowMs);
  }

  /** A sound engine has at least one pass without reading before long. */
  function notePause(current: CurrentAttempt, pauseMs: number): void {
    current.shortestGapMs = Math.min(current.shortestGapMs, pauseMs);
    if (current.pieces % PIECES_PER_PACE !== 0) return;
    const {main, usualGapMs} = current.choice;
    health.observed(main.id, current.shortestGapMs, usualGapMs);
    current.shortestGapMs = Number.POSITIVE_INFINITY;
  }

  function beginStream(
    ctx: GatewayContext,
    req: ForwardedRequest,
    attempt: number,
  ): void {
    if (req.begun) return;
    req.begun = true;
    ctx.emit({kind: 'begin_stream', reqId: req.reqId, attempt});
    const firstMs = Math.round(ctx.nowMs - req.arrivedMs);
    ctx.emit({
      kind: 'observe',
      metric: 'first_piece_ms',
      labels: {service: req.service},
      value: firstMs,
    });
  }

  function streamEnded(ctx: GatewayContext, event: StreamEnded): void {
    const found = currentOf(event.reqId, event.attempt);
    if (!found) return;
    const {req, current} = found;
    health.succeeded(current.choice.main.id, ctx.nowMs);
    beginStream(ctx, req, event.attempt);
    ctx.emit({kind: 'end_stream', reqId: req.reqId});
    finish(ctx, req, 'completed', '');
  }

  function answered(ctx: GatewayContext, event: AnswerReceived): void {
    const found = currentOf(event.reqId, event.attempt);
    if (!found) return;
    const {req, current} = found;
    if (event.status >= SERVER_ERROR_STATUS && mayRepeat(ctx, req, 'broken')) {
      gossip.ended(current.work);
      tickets.release(ctx, req.reqId);
      req.current = undefined;
      req.failedAt.add(current.choice.main.id);
      return dispatch(ctx, req);
    }
    if (event.status < SERVER_ERROR_STATUS) {
      health.succeeded(current.choice.main.id, ctx.nowMs);
    }
    const {reqId, attempt} = event;
    ctx.emit({kind: 'deliver_answer', reqId, attempt});
    finish(ctx, req, 'completed', `status ${event.status}`);
  }

  function failed(ctx: GatewayContext, event: AttemptFailed): void {
    const found = currentOf(event.reqId, event.attempt);
    if (!found) return;
    const {req, current} = found;
    const other = parts.endpointNamed(event.atFault);
    if (other !== undefined && other !== current.choice.main.id) {
      req.failedAt.add(other);
      health.failed(ctx, other, 'named by another endpoint');
    }
    attemptFailed(ctx, req, current, event.failure, event.detail);
  }

  function attemptFailed(
    ctx: GatewayContext,
    req: ForwardedRequest,
    current: CurrentAttempt,
    failure: AttemptFailure,
    detail: string,
  ): void {
    const {main} = current.choice;
    req.history.failed(failure);
    req.failedAt.add(main.id);
    gossip.ended(current.work);
    tickets.release(ctx, req.reqId);
    req.current = undefined;
    if (failure !== 'said_not_run') noteFailure(ctx, main.id, failure);
    ctx.emit({
      kind: 'write_log',
      event: 'WL8303',
      fields: {
        reqId: req.reqId,
        attempt: current.attempt,
        endpoint: main.id,
        failure,
        detail,
        pieces: current.pieces,
        afterMs: Math.round(ctx.nowMs - current.startedMs),
      },
    });
    if (mayRepeat(ctx, req, failure)) return dispatch(ctx, req);
    giveUp(ctx, req, req.history.notRunProof() ? 'overloaded' : 'broken');
  }

  function noteFailure(
    ctx: GatewayContext,
    endpoint: string,
    failure: AttemptFailure,
  ): void {
    const pauseMs = health.failed(ctx, endpoint, failure);
    if (failure !== 'connect_failed') return;
    const to = members.alive(ctx.nowMs).map(({address}) => address);
    if (to.length === 0) return;
    const message = {kind: 'endpoint_doubt', endpoint, pauseMs} as const;
    ctx.emit({kind: 'send_peers', to, message});
  }

  /** Takes one repeat of the allowance if the request may be sent again. */
  function mayRepeat(
    ctx: GatewayContext,
    req: ForwardedRequest,
    failure: AttemptFailure,
  ): boolean {
    const {nowMs} = ctx;
    // What never reached an endpoint is no repeat there.
    const free = failure === 'connect_failed';
    const denial =
      retryDenial(req, nowMs) ??
      (free || allowance.tryTake(nowMs, req.service, members.size(nowMs))
        ? undefined
        : 'allowance_used');
    if (denial === undefined) return true;
    const fields = {reqId: req.reqId, attempt: req.attempts, denial};
    ctx.emit({kind: 'write_log', event: 'WL8304', fields});
    return false;
  }

  function giveUp(
    ctx: GatewayContext,
    req: ForwardedRequest,
    refusal: Refusal,
  ): void {
    const {reqId} = req;
    if (req.begun) ctx.emit({kind: 'break_stream', reqId});
    else {
      const retryAfterMs =
        refusal === 'overloaded' ? RETRY_AFTER_MS : undefined;
      ctx.emit({kind: 'refuse', reqId, refusal, retryAfterMs});
    }
    finish(ctx, req, 'failed', refusal);
  }

  function finish(
    ctx: GatewayContext,
    req: ForwardedRequest,
    outcome: string,
    detail: string,
  ): void {
    if (req.current) gossip.ended(req.current.work);
    dropPlan(req);
    tickets.release(ctx, req.reqId);
    requests.delete(req.reqId);
    reportEnd(ctx, req, outcome, detail);
  }

  function callerLeft(ctx: GatewayContext, event: CallerLeft): void {
    const req = requests.get(event.reqId);
    if (!req) return;
    cancel(ctx, req);
    finish(ctx, req, 'caller_left', '');
  }

  function cancel(ctx: GatewayContext, req: ForwardedRequest): void {
    if (!req.current) return;
    const {attempt} = req.current;
    ctx.emit({kind: 'cancel_attempt', reqId: req.reqId, attempt});
  }

  function expire(ctx: GatewayContext): void {
    for (const req of [...requests.values()]) {
      if (ctx.nowMs >= req.deadlineMs) timedOut(ctx, req);
      else if (req.planned) startPlanned(ctx, req);
      else checkSilence(ctx, req);
    }
  }

  function timedOut(ctx: GatewayContext, req: ForwardedRequest): void {
    cancel(ctx, req);
    const unrun = req.history.notRunProof() !== undefined;
    giveUp(ctx, req, unrun ? 'timed_out_unrun' : 'timed_out');
  }

  function checkSilence(ctx: GatewayContext, req: ForwardedRequest): void {
    const {current} = req;
    const limitMs = silenceLimitMs(req);
    if (!current || limitMs === undefined) return;
    const silentMs = ctx.nowMs - current.progressMs;
    if (silentMs < limitMs) return;
    // An engine that reads long prompts is silent for good reason.
    const readingMs = selection.readingMs(req.service, current.choice.main.id);
    if (silentMs < limitMs + readingMs) return;
    // Nothing is gained by ending an attempt that cannot be replaced.
    if (retryDenial(req, ctx.nowMs)) return;
    current.progressMs = ctx.nowMs;
    const gateways = members.size(ctx.nowMs);
    if (allowance.left(ctx.nowMs, req.service, gateways) < 1) return;
    cancel(ctx, req);
    attemptFailed(ctx, req, current, 'broken', 'silent');
  }

  function cutAll(ctx: GatewayContext): void {
    for (const req of [...requests.values()]) {
      cancel(ctx, req);
      const unrun = req.history.notRunProof() !== undefined;
      giveUp(ctx, req, unrun ? 'draining' : 'broken');
    }
  }

  return {
    handlers: {
      request_arrived: arrived,
      caller_left: callerLeft,
      piece_received: piece,
      stream_ended: streamEnded,
      answer_received: answered,
      attempt_failed: failed,
      peer_received: (ctx, {message}) => {
        if (message.kind !== 'endpoint_doubt') return;
        health.doubted(message.endpoint, message.pauseMs, ctx.nowMs);
      },
      ...tickets.handlers,
    },
    expire: ctx => {
      expire(ctx);
      tickets.expire?.(ctx);
    },
    inFlight: () => requests.size,
    cutAll,
  };
}
