import assert from 'node:assert/strict';
import type {Route} from '../configuration/route.js';
import type {GatewayAction} from '../gateway/actions/gateway_action.js';
import type {OrderMemory} from '../gateway/actions/order_memory.js';
import type {Refuse} from '../gateway/actions/refuse.js';
import type {StartAttempt} from '../gateway/actions/start_attempt.js';
import type {GatewayEvent} from '../gateway/events/gateway_event.js';
import type {RequestArrived} from '../gateway/events/request_arrived.js';
import type {ObservedRequest} from './observed_request.js';

/** Refusals which state that no endpoint has run the request. */
const STATE_NOT_RUN = new Set([
  'overloaded',
  'not_ready',
  'draining',
  'timed_out_unrun',
]);
/** Shorter prompts are never shared by engines, which takes orders. */
const LEAST_SHARED_TOKENS = 50_000;
/** Orders about one piece of memory within a tenth of a second. */
const MOST_ORDERS = 3;
const ORDER_WINDOW_MS = 100;

/** Checks what a gateway does against its guarantees to callers. */
export interface InvariantChecker {
  arrived(event: RequestArrived, route: Route, nowMs: number): void;
  /** An event was fed that tells of a request. */
  eventFed(event: GatewayEvent): void;
  actionTaken(action: GatewayAction, nowMs: number): void;
  /** Time in which the process did not run. */
  paused(ms: number): void;
  /** All that is due at a time was done. */
  checkDeadlines(nowMs: number): void;
  /** Requests without a final answer. */
  open(): string[];
  /** Checks what holds once nothing is open. */
  checkEnd(): void;
}

/** Creates a checker for a gateway without requests. */
export function createInvariantChecker(): InvariantChecker {
  const requests = new Map<string, ObservedRequest>();
  const held = new Map<string, 'reserve' | 'release'>();
  const ordered = new Map<string, number[]>();
  let pausedMs = 0;

  function of(reqId: string): ObservedRequest {
    const request = requests.get(reqId);
    assert.ok(request, `nothing is known of ${reqId}`);
    return request;
  }

  function started({reqId, attempt, notAfterMs}: StartAttempt): void {
    const request = of(reqId);
    assert.ok(!request.finished, `${reqId} is sent after its end`);
    const earlier = [...request.attempts.values()];
    assert.ok(!earlier.includes('running'), `${reqId} runs twice at a time`);
    const {kind, resumable} = request.route;
    if (kind === 'non_idempotent' || (kind === 'stream' && !resumable)) {
      const unrun = earlier.every(state => state === 'not_run');
      assert.ok(unrun, `${reqId} may run twice`);
    }
    assert.ok(notAfterMs <= request.deadlineMs, `${reqId} outlives its time`);
    request.attempts.set(attempt, 'running');
    const runs = earlier.filter(state => state !== 'not_run').length + 1;
    assert.ok(runs <= request.route.maxAttempts, `${reqId} runs ${runs} times`);
  }

  function refused({reqId, refusal}: Refuse): void {
    const request = of(reqId);
    assert.ok(!request.streamStarted, `${reqId} is refused in the middle`);
    if (STATE_NOT_RUN.has(refusal)) {
      const states = [...request.attempts.values()];
      const unrun = states.every(state => state === 'not_run');
      assert.ok(unrun, `${reqId} is falsely called not run: ${refusal}`);
    }
    over(reqId);
  }

  function over(reqId: string): void {
    const request = of(reqId);
    assert.ok(!request.finished, `${reqId} ends twice`);
    request.finished = true;
  }

  function ordersMemory(order: OrderMemory, nowMs: number): void {
    const key = `${order.ticket} ${order.endpoint}`;
    held.set(key, order.order);
    const recent = [...(ordered.get(key) ?? []), nowMs].filter(
      atMs => nowMs - atMs < ORDER_WINDOW_MS,
    );
    ordered.set(key, recent);
    assert.ok(recent.length <= MOST_ORDERS, `${key} is ordered without pause`);
  }

  function actionTaken(action: GatewayAction, nowMs: number): void {
    switch (action.kind) {
      case 'start_attempt':
        return started(action);
      case 'refuse':
        return refused(action);
      case 'cancel_attempt':
        // It may have run.
        of(action.reqId).attempts.set(action.attempt, 'ended');
        return;
      case 'begin_stream':
        of(action.reqId).streamStarted = true;
        return;
      case 'deliver_piece': {
        const request = of(action.reqId);
        assert.ok(!request.finished, `${action.reqId} goes on after its end`);
        assert.equal(action.payload[0], request.lastPiece + 1);
        request.lastPiece += 1;
        return;
      }
      case 'deliver_answer':
      case 'end_stream':
      case 'break_stream':
        return over(action.reqId);
      case 'order_memory':
        return ordersMemory(action, nowMs);
      default:
        return;
    }
  }

  function eventFed(event: GatewayEvent): void {
    if (event.kind === 'caller_left') {
      const request = requests.get(event.reqId);
      if (request) request.finished = true;
      return;
    }
    if (!('attempt' in event)) return;
    const {attempts} = of(event.reqId);
    if (attempts.get(event.attempt) !== 'running') return;
    if (event.kind === 'piece_received') return;
    const unrun =
      event.kind === 'attempt_failed' &&
      ['connect_failed', 'said_not_run'].includes(event.failure);
    attempts.set(event.attempt, unrun ? 'not_run' : 'ended');
  }

  function checkDeadlines(nowMs: number): void {
    for (const [reqId, request] of requests) {
      if (request.finished) continue;
      assert.ok(nowMs < request.deadlineMs, `${reqId} has no answer in time`);
      if (request.attempts.size > 0 || request.waitsForMemory) continue;
      const waitedMs = nowMs - request.arrivedMs - pausedMs;
      const inTarget = waitedMs <= request.route.targetMs;
      assert.ok(inTarget, `${reqId} is kept ${waitedMs} ms and not sent`);
    }
  }

  return {
    arrived: (event, route, nowMs) => {
      const {reqId, promptTokens, remainingMs, resumeAfter} = event;
      const timeMs = Math.min(route.timeoutMs, remainingMs ?? Infinity);
      requests.set(reqId, {
        route,
        arrivedMs: nowMs - pausedMs,
        deadlineMs: nowMs + timeMs,
        attempts: new Map(),
        waitsForMemory: promptTokens > LEAST_SHARED_TOKENS,
        finished: false,
        streamStarted: false,
        lastPiece: resumeAfter,
      });
    },
    eventFed,
    actionTaken,
    paused: ms => {
      pausedMs += ms;
    },
    checkDeadlines,
    open: () =>
      [...requests]
        .filter(([, {finished}]) => !finished)
        .map(([reqId]) => reqId),
    checkEnd: () => {
      for (const [key, order] of held) {
        assert.equal(order, 'release', `${key} is never freed`);
      }
    },
  };
}
