import {performance} from 'node:perf_hooks';
import {Agent, request} from 'undici';
import type {CancelAttempt} from '@wisterialadder/core/router/actions/cancel_attempt.js';
import type {StartAttempt} from '@wisterialadder/core/router/actions/start_attempt.js';
import type {RouterEvent} from '@wisterialadder/core/router/events/router_event.js';
import type {AttemptFailure} from '@wisterialadder/core/types/attempt_failure.js';
import type {EndpointKind} from '@wisterialadder/core/types/endpoint_kind.js';
import type {Disposable} from '@wisterialadder/runtime/lifecycle/disposable.js';
import type {OpenRequests} from '../caller/open_requests.js';
import type {AttemptSink} from './attempt_sink.js';
import type {EndpointCodec} from './endpoint_codec.js';
import type {EndpointResponse} from './endpoint_response.js';
import {EngineCodec} from './engine_codec.js';
import {ServiceCodec} from './service_codec.js';

const CONNECT_TIMEOUT_MS = 1_000;
/** Errors of a connection that was not made, so nothing was sent on it. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Sends attempts to endpoints. */
export interface AttemptRunner extends Disposable {
  start(action: StartAttempt): void;
  cancel(action: CancelAttempt): void;
}

/** Dependencies of the attempt runner. */
export interface AttemptRunnerParts {
  openRequests: OpenRequests;
  /** Owner of sessions on engines, `ADDRESS#INCARNATION`. */
  owner: string;
  push(event: RouterEvent): void;
}

/** Creates a runner with a connection pool of its own. */
export function createAttemptRunner(parts: AttemptRunnerParts): AttemptRunner {
  // The core enforces all timeouts, so the client sets only the connect timeout.
  const agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const codecs: Record<EndpointKind, EndpointCodec> = {
    engine: new EngineCodec(parts.owner),
    service: new ServiceCodec(parts.owner),
  };
  const abortControllers = new Map<string, AbortController>();

  function start(action: StartAttempt): void {
    const sink = sinkFor(action);
    const open = parts.openRequests.get(action.reqId);
    if (!open || performance.now() >= action.notAfterMs) {
      // Nothing was sent, so the attempt certainly did not run.
      sink.failed('connect_failed', false);
      return;
    }
    const abort = new AbortController();
    const key = attemptKey(action);
    abortControllers.set(key, abort);
    const codec = codecs[action.endpointKind];
    request(action.url + codec.path(action, open), {
      method: 'POST',
      headers: codec.headers(action, open),
      body: open.body,
      dispatcher: agent,
      signal: abort.signal,
    })
      .then(res => {
        if (isResponseTo(res, action)) return codec.read(res, sink);
        abort.abort();
        return sink.failed('broken', false);
      })
      .catch((err: unknown) => {
        if (!abort.signal.aborted) sink.failed(failureOf(err), false);
      })
      .finally(() => abortControllers.delete(key));
  }

  function sinkFor({reqId, attempt}: StartAttempt): AttemptSink {
    return {
      delta: (sequence, payload) =>
        parts.push({kind: 'attempt_delta', reqId, attempt, sequence, payload}),
      ended: sequence =>
        parts.push({kind: 'attempt_ended', reqId, attempt, sequence}),
      failed: (failure, leaving) =>
        parts.push({kind: 'attempt_failed', reqId, attempt, failure, leaving}),
    };
  }

  function cancel(action: CancelAttempt): void {
    abortControllers.get(attemptKey(action))?.abort();
  }

  return {
    start,
    cancel,
    dispose: async () => {
      for (const abort of abortControllers.values()) abort.abort();
      await agent.close();
    },
  };
}

/**
 * Whether a response names its attempt. Connections are reused, so any other
 * may be a copy of an earlier response, also of one to the same request.
 */
function isResponseTo(
  {headers}: EndpointResponse,
  {reqId, attempt}: StartAttempt,
): boolean {
  return (
    headers['wl-request-id'] === reqId &&
    headers['wl-attempt'] === String(attempt)
  );
}

function attemptKey(action: {reqId: string; attempt: number}): string {
  return `${action.reqId}/${action.attempt}`;
}

function failureOf(err: unknown): AttemptFailure {
  const code = String((err as {code?: unknown}).code);
  return CONNECT_ERROR_CODES.has(code) ? 'connect_failed' : 'broken';
}
