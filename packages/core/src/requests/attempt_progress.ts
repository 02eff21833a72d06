import type {AttemptDelta} from '../router/events/attempt_delta.js';
import type {AttemptEnded} from '../router/events/attempt_ended.js';
import type {AttemptFailed} from '../router/events/attempt_failed.js';
import type {RouterContext} from '../router/router_context.js';
import type {RouteChoice} from '../routing/route_choice.js';
import type {AttemptFailure} from '../types/attempt_failure.js';
import type {Outcome} from '../types/outcome.js';
import type {OutcomeCode} from '../types/outcome_code.js';
import {backoffMs} from './backoff.js';
import type {EndReason} from './end_reason.js';
import {reportLateAnswer} from './report_late_answer.js';
import type {RequestState} from './request_state.js';
import type {RequestTrackerParts} from './request_tracker_parts.js';
import {createRetryBudget} from './retry_budget.js';
import {retryRefusal} from './retry_refusal.js';
import {startAttemptAction} from './start_attempt_action.js';

/** Handles the attempts of requests and the answers of endpoints. */
export interface AttemptProgress {
  startAttempt(
    ctx: RouterContext,
    state: RequestState,
    choice: RouteChoice,
  ): void;
  delta(ctx: RouterContext, event: AttemptDelta): void;
  ended(ctx: RouterContext, event: AttemptEnded): void;
  failed(ctx: RouterContext, event: AttemptFailed): void;
  /** Cancels the current attempt, whose answer cannot be used. */
  cancelAttempt(ctx: RouterContext, state: RequestState): void;
  /** Removes the prompt of the current attempt from the endpoint's prefills. */
  prefillEnded(state: RequestState): void;
}

/** Dependencies of the attempt handling. */
export interface AttemptProgressParts extends Pick<
  RequestTrackerParts,
  'endpoints' | 'observer'
> {
  requests: ReadonlyMap<string, RequestState>;
  abort(
    ctx: RouterContext,
    reqId: string,
    reason: EndReason,
    code: OutcomeCode,
  ): void;
  finish(ctx: RouterContext, state: RequestState, outcome: Outcome): void;
}

/** Creates the handling of attempts. */
export function createAttemptProgress(
  parts: AttemptProgressParts,
): AttemptProgress {
  const {requests, endpoints, observer} = parts;
  const budget = createRetryBudget();

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
    state.lastProgressMs = ctx.nowMs;
    state.history.started();
    endpoints.attemptStarted(row.name, state.entry.promptTokens);
    ctx.emit(startAttemptAction(state, choice, ctx.nowMs));
    ctx.emit({
      kind: 'observe',
      metric: 'attempts_total',
      labels: {endpoint: row.name},
      value: 1,
    });
  }

  function findCurrentState(
    reqId: string,
    attempt: number,
  ): RequestState | undefined {
    const state = requests.get(reqId);
    if (!state || state.attempt !== attempt || state.endpoint === '') {
      return undefined;
    }
    return state;
  }

  function delta(ctx: RouterContext, event: AttemptDelta): void {
    const state = findCurrentState(event.reqId, event.attempt);
    if (!state || event.sequence < state.nextSequence) {
      reportLateAnswer(ctx, event.reqId, event.attempt);
      return;
    }
    if (event.sequence > state.nextSequence) {
      cancelAttempt(ctx, state);
      return;
    }
    if (state.phase === 'dispatched') observer?.firstDelta(ctx, state);
    prefillEnded(state);
    state.nextSequence += 1;
    state.lastProgressMs = ctx.nowMs;
    state.phase = 'streaming';
    recordFirstToken(ctx, state);
    ctx.emit({kind: 'deliver', reqId: event.reqId, payload: event.payload});
  }

  function prefillEnded(state: RequestState): void {
    if (state.phase !== 'dispatched') return;
    endpoints.prefillEnded(state.endpoint, state.entry.promptTokens);
  }

  function recordFirstToken(ctx: RouterContext, state: RequestState): void {
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
    const state = findCurrentState(event.reqId, event.attempt);
    if (!state) {
      reportLateAnswer(ctx, event.reqId, event.attempt);
      return;
    }
    if (event.sequence !== state.nextSequence) {
      cancelAttempt(ctx, state);
      return;
    }
    prefillEnded(state);
    endpoints.attemptEnded(ctx, state.endpoint, true);
    parts.finish(ctx, state, {kind: 'completed'});
  }

  function failed(ctx: RouterContext, event: AttemptFailed): void {
    const state = findCurrentState(event.reqId, event.attempt);
    if (!state) return;
    if (event.leaving) endpoints.markLeaving(ctx, state.endpoint, 'response');
    attemptFailed(ctx, state, event.failure);
  }

  function cancelAttempt(ctx: RouterContext, state: RequestState): void {
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
    const retryAtMs = ctx.nowMs + backoffMs(state.attempt, ctx.random);
    const refusal = retryRefusal(state, failure, ctx.nowMs, retryAtMs, budget);
    if (refusal) {
      parts.abort(ctx, state.entry.reqId, 'failure', refusal);
      return;
    }
    state.phase = 'backoff';
    state.retryAtMs = retryAtMs;
  }

  return {
    startAttempt,
    delta,
    ended,
    failed,
    cancelAttempt,
    prefillEnded,
  };
}
