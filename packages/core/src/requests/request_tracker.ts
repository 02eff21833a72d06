import type {EndpointDirectory} from '../endpoints/endpoint_directory.js';
import type {AttemptDelta} from '../router/events/attempt_delta.js';
import type {AttemptEnded} from '../router/events/attempt_ended.js';
import type {AttemptFailed} from '../router/events/attempt_failed.js';
import type {RouterConfig} from '../router/router_config.js';
import type {RouterContext} from '../router/router_context.js';
import type {AttemptFailure} from '../types/attempt_failure.js';
import type {Outcome} from '../types/outcome.js';
import type {OutcomeCode} from '../types/outcome_code.js';
import type {RequestQueue} from '../queue/request_queue.js';
import type {RouteChoice} from '../routing/route_choice.js';
import {backoffMs} from './backoff.js';
import {decideOutcome} from './decide_outcome.js';
import type {EndReason} from './end_reason.js';
import type {RequestObserver} from './request_observer.js';
import type {RequestState} from './request_state.js';
import {createRetryBudget} from './retry_budget.js';

/**
 * Time before the deadline at which a request is ended, so that the answer
 * reaches the caller in time.
 */
const DEADLINE_MARGIN_MS = 50;
/** A retry with less time than this left cannot succeed. */
const MIN_RETRY_MS = 100;
/** Long prompts are silent while they are prefilled, which is no failure. */
const EXPECTED_TIMES_ALLOWED = 3;

/** Lifecycle of admitted requests. */
export interface RequestTracker {
  /** Takes a request whose phase is `claiming` or `queued`. */
  admit(ctx: RouterContext, state: RequestState): void;
  /** A claim was granted: the request may be dispatched. */
  claimGranted(ctx: RouterContext, reqId: string): void;
  get(reqId: string): RequestState | undefined;
  /** Requests that have not ended. */
  size(): number;
  all(): Iterable<RequestState>;
  startAttempt(
    ctx: RouterContext,
    state: RequestState,
    choice: RouteChoice,
  ): void;
  delta(ctx: RouterContext, event: AttemptDelta): void;
  ended(ctx: RouterContext, event: AttemptEnded): void;
  failed(ctx: RouterContext, event: AttemptFailed): void;
  /** Marks a queued request as waiting for its reservations. */
  reserving(reqId: string): void;
  /** Lets a request that could not be reserved for return to the queue later. */
  backOff(ctx: RouterContext, reqId: string): void;
  /** Ends a request without a whole answer. */
  abort(
    ctx: RouterContext,
    reqId: string,
    reason: EndReason,
    code: OutcomeCode,
    retryAfterMs?: number,
  ): void;
  /** Judges every timeout by the time of the step. */
  expire(ctx: RouterContext): void;
}

/** Parts of the router that the tracker works with. */
export interface RequestTrackerParts {
  cfg: RouterConfig;
  queue: RequestQueue;
  endpoints: EndpointDirectory;
  observer?: RequestObserver;
  /** Called once for each request that ends. */
  onEnd(ctx: RouterContext, state: RequestState, outcome: Outcome): void;
}

/** Creates a tracker without requests. */
export function createRequestTracker(
  parts: RequestTrackerParts,
): RequestTracker {
  const {cfg, queue, endpoints, observer} = parts;
  const requests = new Map<string, RequestState>();
  const budget = createRetryBudget();

  function admit(ctx: RouterContext, state: RequestState): void {
    requests.set(state.entry.reqId, state);
    observer?.admitted(ctx, state);
    if (state.phase === 'queued') queue.push(state.entry, ctx.nowMs);
  }

  function claimGranted(ctx: RouterContext, reqId: string): void {
    const state = requests.get(reqId);
    if (!state || state.phase !== 'claiming') return;
    enqueue(ctx, state);
  }

  function enqueue(ctx: RouterContext, state: RequestState): void {
    state.phase = 'queued';
    queue.push(state.entry, ctx.nowMs);
  }

  function startAttempt(
    ctx: RouterContext,
    state: RequestState,
    choice: RouteChoice,
  ): void {
    const {row} = choice.endpoint;
    if (state.attempt === 0) budget.firstAttempt();
    state.attempt += 1;
    state.phase = 'dispatched';
    state.endpoint = row.name;
    state.choice = choice;
    state.progressMs = ctx.nowMs;
    state.history.started();
    endpoints.attemptStarted(row.name, state.entry.promptTokens);
    const remainingMs = state.entry.deadlineMs - ctx.nowMs;
    ctx.emit({
      kind: 'start_attempt',
      reqId: state.entry.reqId,
      attempt: state.attempt,
      endpoint: row.name,
      endpointKind: row.kind,
      url: row.url,
      service: row.service,
      resumeFrom: state.nextSequence,
      priority: state.entry.priority,
      timeoutMs: remainingMs,
      notAfterMs: state.entry.deadlineMs - DEADLINE_MARGIN_MS,
      reservations: choice.reservations ?? [],
    });
    ctx.emit({
      kind: 'observe',
      metric: 'attempts_total',
      labels: {endpoint: row.name},
      value: 1,
    });
  }

  function current(reqId: string, attempt: number): RequestState | undefined {
    const state = requests.get(reqId);
    if (!state || state.attempt !== attempt || state.endpoint === '') {
      return undefined;
    }
    return state;
  }

  function dropLate(ctx: RouterContext, reqId: string, attempt: number): void {
    ctx.emit({
      kind: 'observe',
      metric: 'late_answers_total',
      labels: {},
      value: 1,
    });
    ctx.emit({kind: 'write_log', event: 'WL1004', fields: {reqId, attempt}});
  }

  function delta(ctx: RouterContext, event: AttemptDelta): void {
    const state = current(event.reqId, event.attempt);
    if (!state || event.sequence < state.nextSequence) {
      dropLate(ctx, event.reqId, event.attempt);
      return;
    }
    if (event.sequence > state.nextSequence) {
      giveUpAttempt(ctx, state);
      return;
    }
    if (state.phase === 'dispatched') observer?.firstPart(ctx, state);
    prefillEnded(state);
    state.nextSequence += 1;
    state.progressMs = ctx.nowMs;
    state.phase = 'streaming';
    noteFirstToken(ctx, state);
    ctx.emit({kind: 'deliver', reqId: event.reqId, payload: event.payload});
  }

  function prefillEnded(state: RequestState): void {
    if (state.phase !== 'dispatched') return;
    endpoints.prefillEnded(state.endpoint, state.entry.promptTokens);
  }

  function noteFirstToken(ctx: RouterContext, state: RequestState): void {
    if (state.firstTokenMs !== undefined) return;
    state.firstTokenMs = ctx.nowMs - state.entry.arrivedMs;
    ctx.emit({
      kind: 'observe',
      metric: 'first_token_ms',
      labels: {class: state.entry.className},
      value: state.firstTokenMs,
    });
  }

  function ended(ctx: RouterContext, event: AttemptEnded): void {
    const state = current(event.reqId, event.attempt);
    if (!state) {
      dropLate(ctx, event.reqId, event.attempt);
      return;
    }
    if (event.sequence !== state.nextSequence) {
      giveUpAttempt(ctx, state);
      return;
    }
    prefillEnded(state);
    endpoints.attemptEnded(ctx, state.endpoint, true);
    finish(ctx, state, {kind: 'completed'});
  }

  function failed(ctx: RouterContext, event: AttemptFailed): void {
    const state = current(event.reqId, event.attempt);
    if (!state) return;
    if (event.leaving) endpoints.markLeaving(ctx, state.endpoint, 'response');
    attemptFailed(ctx, state, event.failure);
  }

  /** Cancels the current attempt, since its answer cannot be used. */
  function giveUpAttempt(ctx: RouterContext, state: RequestState): void {
    ctx.emit({
      kind: 'cancel_attempt',
      reqId: state.entry.reqId,
      attempt: state.attempt,
    });
    attemptFailed(ctx, state, 'broken');
  }

  function attemptFailed(
    ctx: RouterContext,
    state: RequestState,
    failure: AttemptFailure,
  ): void {
    ctx.emit({
      kind: 'write_log',
      event: 'WL1003',
      fields: {
        reqId: state.entry.reqId,
        attempt: state.attempt,
        endpoint: state.endpoint,
        failure,
      },
    });
    const healthy = failure === 'rejected' || failure === 'said_not_run';
    prefillEnded(state);
    endpoints.attemptEnded(ctx, state.endpoint, healthy);
    observer?.attemptFailed(ctx, state);
    state.failedEndpoints.add(state.endpoint);
    state.endpoint = '';
    state.history.failed(failure);
    retryOrFinish(ctx, state, failure);
  }

  function retryOrFinish(
    ctx: RouterContext,
    state: RequestState,
    failure: AttemptFailure,
  ): void {
    const {reqId} = state.entry;
    if (failure === 'rejected') {
      abort(ctx, reqId, 'failure', 'endpoint_rejected');
      return;
    }
    const safe = state.idempotent || state.history.notRunProof() !== undefined;
    if (!safe) {
      abort(ctx, reqId, 'failure', 'endpoint_broken');
      return;
    }
    const waitMs = backoffMs(state.attempt, ctx.random);
    const remainingMs = state.entry.deadlineMs - ctx.nowMs - waitMs;
    if (remainingMs < MIN_RETRY_MS) {
      abort(ctx, reqId, 'failure', 'endpoint_broken');
      return;
    }
    if (!budget.tryTake(ctx.nowMs)) {
      abort(ctx, reqId, 'failure', 'retry_budget');
      return;
    }
    state.phase = 'backoff';
    state.retryAtMs = ctx.nowMs + waitMs;
  }

  function reserving(reqId: string): void {
    const state = requests.get(reqId);
    if (state) state.phase = 'reserving';
  }

  function backOff(ctx: RouterContext, reqId: string): void {
    const state = requests.get(reqId);
    if (!state) return;
    queue.remove(reqId);
    state.backoffs += 1;
    state.phase = 'backoff';
    state.retryAtMs = ctx.nowMs + backoffMs(state.backoffs, ctx.random);
  }

  function abort(
    ctx: RouterContext,
    reqId: string,
    reason: EndReason,
    code: OutcomeCode,
    retryAfterMs?: number,
  ): void {
    const state = requests.get(reqId);
    if (!state) return;
    if (state.endpoint !== '') {
      ctx.emit({kind: 'cancel_attempt', reqId, attempt: state.attempt});
      prefillEnded(state);
      endpoints.attemptEnded(ctx, state.endpoint, reason === 'cancelled');
    }
    const outcome = decideOutcome(
      state.history,
      state.idempotent,
      reason,
      code,
      retryAfterMs,
    );
    finish(ctx, state, outcome);
  }

  function finish(
    ctx: RouterContext,
    state: RequestState,
    outcome: Outcome,
  ): void {
    const {reqId, className} = state.entry;
    requests.delete(reqId);
    queue.remove(reqId);
    ctx.emit({kind: 'finish', reqId, outcome});
    ctx.emit({
      kind: 'observe',
      metric: 'requests_total',
      labels: {class: className, outcome: outcome.kind},
      value: 1,
    });
    ctx.emit({
      kind: 'write_log',
      event: 'WL1002',
      fields: {
        reqId,
        class: className,
        customer: state.entry.customer,
        outcome: outcome.kind,
        code: outcome.kind === 'completed' ? '' : outcome.code,
        attempts: state.attempt,
        promptTokens: state.entry.promptTokens,
        firstTokenMs: state.firstTokenMs ?? -1,
        totalMs: ctx.nowMs - state.entry.arrivedMs,
      },
    });
    parts.onEnd(ctx, state, outcome);
  }

  function expire(ctx: RouterContext): void {
    for (const state of [...requests.values()]) {
      if (ctx.nowMs >= state.entry.deadlineMs - DEADLINE_MARGIN_MS) {
        abort(ctx, state.entry.reqId, 'timeout', 'timeout');
      } else if (state.phase === 'backoff' && ctx.nowMs >= state.retryAtMs) {
        enqueue(ctx, state);
      } else if (isSilent(ctx, state)) {
        giveUpAttempt(ctx, state);
      }
    }
  }

  function isSilent(ctx: RouterContext, state: RequestState): boolean {
    const silentMs = ctx.nowMs - state.progressMs;
    if (state.phase === 'dispatched') {
      const expectedMs = state.choice?.costMs ?? 0;
      const grace = expectedMs * EXPECTED_TIMES_ALLOWED;
      return silentMs >= cfg.firstTokenTimeoutMs + grace;
    }
    return state.phase === 'streaming' && silentMs >= cfg.idleTimeoutMs;
  }

  return {
    admit,
    claimGranted,
    get: reqId => requests.get(reqId),
    size: () => requests.size,
    all: () => requests.values(),
    startAttempt,
    delta,
    ended,
    failed,
    reserving,
    backOff,
    abort,
    expire,
  };
}
