import {performance} from 'node:perf_hooks';
import type {CancelAttempt} from '@wisterialadder/core/gateway/actions/cancel_attempt.js';
import type {StartAttempt} from '@wisterialadder/core/gateway/actions/start_attempt.js';
import type {GatewayEvent} from '@wisterialadder/core/gateway/events/gateway_event.js';
import {NO_EVIDENCE} from '@wisterialadder/core/types/attempt_evidence.js';
import type {AttemptFailure} from '@wisterialadder/core/types/attempt_failure.js';
import type {Disposable} from '@wisterialadder/runtime/lifecycle/disposable.js';
import type {MemoryBudget} from '@wisterialadder/runtime/memory/memory_budget.js';
import type {OpenRequest, ReceivedAnswer} from '../callers/open_request.js';
import type {OpenRequests} from '../callers/open_requests.js';
import {createAttemptHandler, type AttemptHandler} from './attempt_handler.js';
import type {AttemptSink} from './attempt_sink.js';
import {createConnectionPool, type ConnectionLease} from './connection_pool.js';
import type {EndpointCodec} from './endpoint_codec.js';

const OVERHEAD_CHECK_INTERVAL_MS = 1_000;

/** Sends attempts to endpoints and reports their results. */
export interface AttemptRunner extends Disposable {
  start(action: StartAttempt): void;
  cancel(action: CancelAttempt): void;
  /** Closes idle connections to endpoints that are not listed. */
  closeIdleExcept(endpoints: string[]): void;
}

/** Dependencies of an attempt runner. */
export interface AttemptRunnerParts {
  open: OpenRequests;
  codec: EndpointCodec;
  budget: MemoryBudget;
  /** Interim answers that an endpoint may send before its answer. */
  maxInterim(): number;
  push(event: GatewayEvent): void;
}

/** Creates a runner without connections. */
export function createAttemptRunner(parts: AttemptRunnerParts): AttemptRunner {
  const pool = createConnectionPool();
  const running = new Map<string, AttemptHandler>();
  const overheadCheck = setInterval(() => {
    for (const handler of running.values()) handler.checkOverhead();
  }, OVERHEAD_CHECK_INTERVAL_MS);
  overheadCheck.unref();

  function start(action: StartAttempt): void {
    const open = parts.open.get(action.reqId);
    if (!open) return;
    if (performance.now() >= action.notAfterMs) {
      return reportFailure(action, 'connect_failed', 'too late to send');
    }
    const lease = acquire(action, open.callerId);
    if (lease) send(action, open, lease);
  }

  /** Reports the failure of the attempt if there is no connection for it. */
  function acquire(
    action: StartAttempt,
    callerId: string,
  ): ConnectionLease | undefined {
    const {endpoint, address, maxConnections} = action;
    const requireNew = action.newConnection;
    try {
      const lease = pool.acquire({
        endpoint,
        address,
        maxConnections,
        requireNew,
        callerId,
      });
      if (!lease) reportFailure(action, 'said_not_run', 'no connection left');
      return lease;
    } catch (err) {
      // For instance an address to which no connection can be opened.
      reportFailure(action, 'connect_failed', (err as Error).message);
      return undefined;
    }
  }

  function send(
    action: StartAttempt,
    open: OpenRequest,
    lease: ConnectionLease,
  ): void {
    const {attempt} = action;
    const key = attemptKey(action);
    const handler = createAttemptHandler({
      action,
      lease,
      codec: parts.codec,
      callerId: open.callerId,
      method: open.head.method,
      maxInterim: parts.maxInterim(),
      sink: sinkFor(action),
      budget: parts.budget,
      onAnswer: answer => keepAnswer(open, attempt, answer),
      onEnd: () => running.delete(key),
    });
    running.set(key, handler);
    const {head, body} = open;
    lease.connection.dispatch(
      {
        path: head.target,
        method: head.method as 'GET',
        headers: parts.codec.headers(action, head),
        body: body.length > 0 ? body : null,
      },
      handler,
    );
  }

  function reportFailure(
    action: StartAttempt,
    failure: AttemptFailure,
    detail: string,
  ): void {
    sinkFor(action).failed(failure, detail, '', NO_EVIDENCE);
  }

  function sinkFor({reqId, attempt}: StartAttempt): AttemptSink {
    const {push} = parts;
    return {
      hinted: hints => push({kind: 'hints_received', reqId, attempt, hints}),
      streamStarted: () => push({kind: 'stream_started', reqId, attempt}),
      piece: (piece, payload) =>
        push({kind: 'piece_received', reqId, attempt, piece, payload}),
      streamEnded: delimited =>
        push({kind: 'stream_ended', reqId, attempt, delimited}),
      answered: status =>
        push({kind: 'answer_received', reqId, attempt, status}),
      failed: (failure, detail, atFault, evidence) =>
        push({
          kind: 'attempt_failed',
          reqId,
          attempt,
          failure,
          detail,
          atFault,
          evidence,
        }),
    };
  }

  return {
    start,
    cancel: action => running.get(attemptKey(action))?.cancel(),
    closeIdleExcept: pool.closeIdleExcept,
    dispose: () => {
      clearInterval(overheadCheck);
      for (const {cancel} of [...running.values()]) cancel();
      return pool.dispose();
    },
  };
}

/** The answers of a request are released when its caller's is closed. */
function keepAnswer(
  open: OpenRequest,
  attempt: number,
  answer: ReceivedAnswer,
): void {
  if (open.res.closed) return answer.release?.();
  open.answers.set(attempt, answer);
}

function attemptKey(action: {reqId: string; attempt: number}): string {
  return `${action.reqId}/${action.attempt}`;
}
