import assert from 'node:assert/strict';
import type {Route} from '../configuration/route.js';
import type {GatewayAction} from '../gateway/actions/gateway_action.js';
import type {OrderMemory} from '../gateway/actions/order_memory.js';
import type {Refuse} from '../gateway/actions/refuse.js';
import type {StartAttempt} from '../gateway/actions/start_attempt.js';
import type {GatewayEvent} from '../gateway/events/gateway_event.js';
import type {RequestArrived} from '../gateway/events/request_arrived.js';
import type {ObservedRequest} from './observed_request.js';

/** Refusals that state that no endpoint has run the request. */
const NOT_RUN_REFUSALS = new Set([
  'overloaded',
  'not_ready',
  'draining',
  'timed_out_unrun',
]);
/** Shorter prompts are not sharded, so they never wait for memory. */
const MIN_SHARDED_TOKENS = 50_000;
/** Maximum of orders for one reservation and engine in the window. */
const MAX_ORDERS = 3;
const ORDER_WINDOW_MS = 100;

/** Checks the actions of a gateway against its guarantees to callers. */
export interface InvariantChecker {
  arrived(event: RequestArrived, route: Route, nowMs: number): void;
  /** Records an event before the gateway handles it. */
  eventFed(event: GatewayEvent): void;
  actionTaken(action: GatewayAction, nowMs: number): void;
  /** Records that the process did not run for a time. */
  paused(ms: number): void;
  /** Checks deadlines once everything due at a time is done. */
  checkDeadlines(nowMs: number): void;
  /** Ids of the requests without a final answer. */
  open(): string[];
  /** Checks what must hold once no request is open. */
  checkEnd(): void;
}

/** Creates a checker for a gateway without requests. */
export function createInvariantChecker(): InvariantChecker {
  const requests = new Map<string, ObservedRequest>();
  const lastOrders = new Map<string, 'reserve' | 'release'>();
  const orderTimes = new Map<string, number[]>();
  let pausedMs = 0;

  function findRequest(reqId: string): ObservedRequest {
    const request = requests.get(reqId);
    assert.ok(request, `${reqId} is unknown`);
    return request;
  }

  function recordStart({reqId, attempt, notAfterMs}: StartAttempt): void {
    const request = findRequest(reqId);
    assert.ok(!request.finished, `${reqId} has an attempt after its end`);
    const earlier = [...request.attempts.values()];
    assert.ok(
      !earlier.includes('running'),
      `${reqId} has two attempts at a time`,
    );
    const {kind, resumable} = request.route;
    if (kind === 'non_idempotent' || (kind === 'stream' && !resumable)) {
      const notRun = earlier.every(state => state === 'not_run');
      assert.ok(notRun, `${reqId} may run twice`);
    }
    assert.ok(
      notAfterMs <= request.deadlineMs,
      `${reqId} has an attempt that may start after its deadline`,
    );
    request.attempts.set(attempt, 'running');
    const runs = earlier.filter(state => state !== 'not_run').length + 1;
    assert.ok(runs <= request.route.maxAttempts, `${reqId} runs ${runs} times`);
  }

  function recordRefusal({reqId, refusal}: Refuse): void {
    const request = findRequest(reqId);
    assert.ok(
      !request.streamStarted,
      `${reqId} is refused after its stream has started`,
    );
    if (NOT_RUN_REFUSALS.has(refusal)) {
      const states = [...request.attempts.values()];
      const notRun = states.every(state => state === 'not_run');
      assert.ok(
        notRun,
        `${reqId} may have run but is refused as not run: ${refusal}`,
      );
    }
    recordEnd(reqId);
  }

  function recordEnd(reqId: string): void {
    const request = findRequest(reqId);
    assert.ok(!request.finished, `${reqId} ends twice`);
    request.finished = true;
  }

  function recordMemoryOrder(order: OrderMemory, nowMs: number): void {
    const key = `${order.ticket} ${order.endpoint}`;
    lastOrders.set(key, order.order);
    const recent = [...(orderTimes.get(key) ?? []), nowMs].filter(
      atMs => nowMs - atMs < ORDER_WINDOW_MS,
    );
    orderTimes.set(key, recent);
    assert.ok(
      recent.length <= MAX_ORDERS,
      `${key} has more than ${MAX_ORDERS} orders in a window`,
    );
  }

  function actionTaken(action: GatewayAction, nowMs: number): void {
    switch (action.kind) {
      case 'start_attempt':
        return recordStart(action);
      case 'refuse':
        return recordRefusal(action);
      case 'cancel_attempt':
        // A cancelled attempt may have run.
        findRequest(action.reqId).attempts.set(action.attempt, 'ended');
        return;
      case 'begin_stream':
        findRequest(action.reqId).streamStarted = true;
        return;
      case 'deliver_piece': {
        const request = findRequest(action.reqId);
        assert.ok(
          !request.finished,
          `${action.reqId} has a piece after its end`,
        );
        assert.equal(action.payload[0], request.lastPiece + 1);
        request.lastPiece += 1;
        return;
      }
      case 'deliver_answer':
      case 'end_stream':
      case 'break_stream':
        return recordEnd(action.reqId);
      case 'order_memory':
        return recordMemoryOrder(action, nowMs);
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
    const {attempts} = findRequest(event.reqId);
    if (attempts.get(event.attempt) !== 'running') return;
    // Neither ends the attempt.
    if (event.kind === 'piece_received' || event.kind === 'hints_received')
      return;
    const notRun =
      event.kind === 'attempt_failed' &&
      ['connect_failed', 'said_not_run'].includes(event.failure);
    attempts.set(event.attempt, notRun ? 'not_run' : 'ended');
  }

  function checkDeadlines(nowMs: number): void {
    for (const [reqId, request] of requests) {
      if (request.finished) continue;
      assert.ok(
        nowMs < request.deadlineMs,
        `${reqId} has no answer by its deadline`,
      );
      if (request.attempts.size > 0 || request.waitsForMemory) continue;
      const waitedMs = nowMs - request.arrivedMs - pausedMs;
      const inTarget = waitedMs <= request.route.targetMs;
      assert.ok(inTarget, `${reqId} has no attempt after ${waitedMs} ms`);
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
        waitsForMemory: promptTokens > MIN_SHARDED_TOKENS,
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
      for (const [key, order] of lastOrders) {
        assert.equal(order, 'release', `${key} is never released`);
      }
    },
  };
}
