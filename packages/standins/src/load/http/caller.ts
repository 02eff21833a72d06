import {Agent, request as send, type Dispatcher} from 'undici';
import type {Disposable} from '@wisterialadder/runtime/lifecycle/disposable.js';
import type {LoadEvent} from '../load_event.js';
import type {PlannedRequest} from '../requests/planned_request.js';
import {readServiceAnswer, readRefusal, readStream} from './read_answer.js';

const CONNECT_TIMEOUT_MS = 2_000;

/** HTTP client that sends requests to the routers. */
export interface Caller extends Disposable {
  send(routerUrl: string, request: PlannedRequest): void;
  abort(id: string): void;
}

/** Creates a caller; each request in flight has its own connection. */
export function createCaller(push: (event: LoadEvent) => void): Caller {
  const open = new Map<string, AbortController>();
  const dispatcher = new Agent({
    bodyTimeout: 0,
    headersTimeout: 0,
    pipelining: 1,
    connect: {timeout: CONNECT_TIMEOUT_MS},
  });

  async function exchange(
    routerUrl: string,
    request: PlannedRequest,
    signal: AbortSignal,
  ): Promise<void> {
    const {id} = request;
    const res = await send(`${routerUrl}${requestPath(request)}`, {
      ...requestOptions(request),
      method: 'POST',
      dispatcher,
      signal,
    });
    const type = String(res.headers['content-type'] ?? '');
    if (res.statusCode !== 200) push(await readRefusal(id, res));
    else if (request.kind === 'service') push(await readServiceAnswer(id, res));
    else if (type.startsWith('text/event-stream')) {
      await readStream(id, res, push);
    } else push(await readRefusal(id, res));
  }

  return {
    send: (routerUrl, request) => {
      const {id} = request;
      const abort = new AbortController();
      open.set(id, abort);
      exchange(routerUrl, request, abort.signal)
        .catch((err: unknown) => {
          const reason = isConnectFailure(err) ? 'unreachable' : 'broken';
          push({kind: 'connection_ended', id, reason});
        })
        .finally(() => open.delete(id));
    },
    abort: id => open.get(id)?.abort(),
    dispose: () => dispatcher.destroy(),
  };
}

function requestPath(request: PlannedRequest): string {
  if (request.kind === 'chat') return '/v1/chat/completions';
  return `/services/${request.service}/${request.action}`;
}

function requestOptions(
  request: PlannedRequest,
): Pick<Dispatcher.RequestOptions, 'headers' | 'body'> {
  const {key, className, timeoutMs, idempotencyKey} = request;
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    authorization: `Bearer ${key}`,
    'wl-class': className,
    'wl-timeout-ms': String(timeoutMs),
  };
  if (idempotencyKey !== '') headers['idempotency-key'] = idempotencyKey;
  if (request.kind === 'service') return {headers, body: request.body};
  const {model, prompt, maxTokens} = request;
  const body = JSON.stringify({
    ...(model === '' ? {} : {model}),
    messages: [{role: 'user', content: prompt}],
    max_tokens: maxTokens,
    stream: true,
  });
  return {headers, body};
}

function isConnectFailure(err: unknown): boolean {
  const code = (err as {code?: unknown}).code;
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
}
