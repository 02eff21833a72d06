import type {RouterContext} from '../router/router_context.js';
import type {Outcome} from '../types/outcome.js';
import type {OutcomeCode} from '../types/outcome_code.js';
import {createAttemptProgress} from './attempt_progress.js';
import {backoffMs} from './backoff.js';
import {DEADLINE_MARGIN_MS} from './deadline_margin.js';
import {decideOutcome} from './decide_outcome.js';
import type {EndReason} from './end_reason.js';
import {reportEnd} from './report_end.js';
import type {RequestState} from './request_state.js';
import {isStalled} from './is_stalled.js';
import type {RequestTracker} from './request_tracker.js';
import type {RequestTrackerParts} from './request_tracker_parts.js';

/**
 * Interval between checks of all timeouts; well below the deadline margin. A
 * process that resumes after a longer pause checks before its first event.
 */
const TIMEOUT_CHECK_INTERVAL_MS = 5;

/** Creates a tracker without requests. */
export function createRequestTracker(
  parts: RequestTrackerParts,
): RequestTracker {
  const {cfg, queue, endpoints, observer} = parts;
  const requests = new Map<string, RequestState>();
  const attempts = createAttemptProgress({
    endpoints,
    observer,
    requests,
    abort,
    finish,
  });
  let lastCheckMs = Number.NEGATIVE_INFINITY;

  function admit(ctx: RouterContext, state: RequestState): void {
    requests.set(state.entry.reqId, state);
    observer?.admitted(ctx, state);
    if (state.phase === 'queued') queue.push(state.entry);
  }

  function claimGranted(ctx: RouterContext, reqId: string): void {
    const state = requests.get(reqId);
    if (!state || state.phase !== 'claiming') return;
    enqueue(ctx, state);
  }

  function enqueue(ctx: RouterContext, state: RequestState): void {
    state.phase = 'queued';
    queue.push(state.entry);
  }

  function markReserving(reqId: string): void {
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
      attempts.prefillEnded(state);
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
    const {reqId} = state.entry;
    requests.delete(reqId);
    queue.remove(reqId);
    ctx.emit({kind: 'finish', reqId, outcome});
    reportEnd(ctx, state, outcome);
    parts.onEnd(ctx, state, outcome);
  }

  function expire(ctx: RouterContext): void {
    if (ctx.nowMs < lastCheckMs + TIMEOUT_CHECK_INTERVAL_MS) return;
    lastCheckMs = ctx.nowMs;
    for (const state of [...requests.values()]) {
      if (ctx.nowMs >= state.entry.deadlineMs - DEADLINE_MARGIN_MS) {
        abort(ctx, state.entry.reqId, 'timeout', 'timeout');
      } else if (state.phase === 'backoff' && ctx.nowMs >= state.retryAtMs) {
        enqueue(ctx, state);
      } else if (isStalled(cfg, state, ctx.nowMs)) {
        attempts.cancelAttempt(ctx, state);
      }
    }
  }

  return {
    admit,
    claimGranted,
    get: reqId => requests.get(reqId),
    size: () => requests.size,
    all: () => requests.values(),
    startAttempt: attempts.startAttempt,
    delta: attempts.delta,
    ended: attempts.ended,
    failed: attempts.failed,
    markReserving,
    backOff,
    abort,
    expire,
  };
}
