import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestArrived} from '@wisterialadder/core/router/events/request_arrived.js';
import type {RouterEvent} from '@wisterialadder/core/router/events/router_event.js';
import type {HttpRoute} from '@wisterialadder/runtime/http/http_route.js';
import type {BodyError} from '@wisterialadder/runtime/http/body_error.js';
import type {RequestIntake} from '@wisterialadder/runtime/http/request_intake.js';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';
import {prefixHashes} from '@wisterialadder/runtime/prompt/prefix_hashes.js';
import {promptText} from '@wisterialadder/runtime/prompt/prompt_text.js';
import {promptTokens} from '@wisterialadder/runtime/prompt/prompt_tokens.js';
import {CHAT_BODY} from './chat_body.js';
import {bearerKeyHash} from '@wisterialadder/runtime/http/bearer_key_hash.js';
import type {CallerReply} from './caller_reply.js';
import {JsonReply} from './json_reply.js';
import type {OpenRequests} from './open_requests.js';
import {ServiceReply} from './service_reply.js';
import {StreamReply} from './stream_reply.js';

/** Dependencies of the caller routes. */
export interface CallerRoutesParts {
  openRequests: OpenRequests;
  maxBodyBytes: number;
  intake: RequestIntake;
  /** Returns false if the event queue is full. */
  push(event: RouterEvent): boolean;
}

/** A request with a bearer key whose body has been read. */
interface ReceivedRequest {
  keyHash: string;
  body: Buffer;
}

/** Routes for callers: chat completions and plain services. */
export function callerRoutes(parts: CallerRoutesParts): HttpRoute[] {
  async function chat(req: IncomingMessage, res: ServerResponse) {
    const received = await readRequest(req, res, parts);
    if (!received) return;
    const parsed = CHAT_BODY.safeParse(parseJson(received.body));
    if (!parsed.success) {
      const where = parsed.error.issues[0]?.path.join('.') ?? '';
      return refuse(res, 400, 'bad_request', `Malformed body at "${where}".`);
    }
    const prompt = promptText(parsed.data.messages);
    const reqId = randomUUID();
    const reply = parsed.data.stream
      ? new StreamReply(reqId, res)
      : new JsonReply(reqId, res);
    admit(res, received, reply, '', {
      kind: 'request_arrived',
      reqId,
      keyHash: received.keyHash,
      className: header(req, 'wl-class'),
      service: parsed.data.model ?? '',
      promptTokens: promptTokens(prompt),
      maxOutputTokens: parsed.data.max_tokens,
      prefixHashes: prefixHashes(prompt),
      idempotencyKey: header(req, 'idempotency-key'),
    });
  }

  async function service(
    req: IncomingMessage,
    res: ServerResponse,
    match: Record<string, string>,
  ) {
    const received = await readRequest(req, res, parts);
    if (!received) return;
    const reqId = randomUUID();
    const reply = new ServiceReply(reqId, res);
    admit(res, received, reply, match['action'] ?? '', {
      kind: 'request_arrived',
      reqId,
      keyHash: received.keyHash,
      className: header(req, 'wl-class'),
      service: match['service'] ?? '',
      promptTokens: 0,
      maxOutputTokens: 0,
      prefixHashes: [],
      idempotencyKey: header(req, 'idempotency-key'),
    });
  }

  function admit(
    res: ServerResponse,
    received: ReceivedRequest,
    reply: CallerReply,
    action: string,
    event: RequestArrived,
  ): void {
    const {reqId, idempotencyKey} = event;
    const {body} = received;
    parts.openRequests.set(reqId, {reply, body, action, idempotencyKey});
    res.on('close', () => {
      if (parts.openRequests.delete(reqId)) {
        parts.push({kind: 'request_cancelled', reqId});
      }
    });
    if (!parts.push(event)) {
      parts.openRequests.delete(reqId);
      refuse(res, 503, 'overloaded', 'Too many events are waiting.');
    }
  }

  return [
    {method: 'POST', path: /^\/v1\/chat\/completions$/, handler: chat},
    {
      method: 'POST',
      path: /^\/services\/(?<service>[\w.-]+)\/(?<action>[\w.-]+)$/,
      handler: service,
    },
  ];
}

async function readRequest(
  req: IncomingMessage,
  res: ServerResponse,
  {intake, maxBodyBytes}: CallerRoutesParts,
): Promise<ReceivedRequest | undefined> {
  const keyHash = bearerKeyHash(req);
  if (keyHash === undefined) {
    intake.closeAfter(req, res);
    refuse(res, 401, 'not_authorized', 'A bearer key is required.');
    return undefined;
  }
  const body = await intake.bodies.read(req, res, maxBodyBytes);
  if (body.ok) return {keyHash, body: body.val};
  intake.closeAfter(req, res);
  refuseBody(res, body.val, maxBodyBytes);
  return undefined;
}

function refuseBody(
  res: ServerResponse,
  reason: BodyError,
  maxBodyBytes: number,
): void {
  switch (reason) {
    case 'too_large': {
      const message = `The body is larger than ${maxBodyBytes} bytes.`;
      return refuse(res, 413, 'prompt_too_long', message);
    }
    case 'memory_short':
      return refuse(res, 503, 'overloaded', 'There is no memory for the body.');
    case 'too_slow':
      return refuse(res, 408, 'too_slow', 'The body came too slowly.');
    case 'aborted':
      return undefined;
  }
}

// Rejects a request that the core has not seen, so it was not run.
function refuse(
  res: ServerResponse,
  status: number,
  code: string,
  message: string,
): void {
  const outcome = 'rejected_not_run';
  const body = {outcome, error: {code, message}};
  // The body may not be read to its end, so the connection cannot be reused.
  sendJson(res, status, body, {'wl-outcome': outcome, connection: 'close'});
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

function header(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === 'string' ? value : '';
}
