import type {IncomingMessage, ServerResponse} from 'node:http';
import type {CallerLimits} from '@wisterialadder/core/configuration/caller_limits.js';
import type {Refusal} from '@wisterialadder/core/forwarding/refusal.js';
import type {GatewayEvent} from '@wisterialadder/core/gateway/events/gateway_event.js';
import type {BodyError} from '@wisterialadder/runtime/http/body_error.js';
import type {BodyReader} from '@wisterialadder/runtime/http/body_reader.js';
import {breakOff} from './break_off.js';
import type {CallerCodec} from './caller_codec.js';
import type {CallerHead} from './caller_head.js';
import type {CallerRequest} from './caller_request.js';
import type {OpenRequest} from './open_request.js';
import type {OpenRequests} from './open_requests.js';
import {createRequestDigest} from './request_digest.js';
import {sendRefusal} from './send_refusal.js';

/** Largest head that is parsed; the configured limit is lower. */
export const MAX_HEAD_BYTES = 131_072;
/** Largest body that is read before the configured limit is known. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

/** At least a colon and a line end; spaces around a value are optional. */
const LINE_OVERHEAD_BYTES = 3;

/** How a body that could not be read is refused; none of them has run. */
const BODY_REFUSALS: Record<Exclude<BodyError, 'aborted'>, Refusal> = {
  too_large: 'body_too_large',
  memory_short: 'overloaded',
  too_slow: 'timed_out_unrun',
};

/** Reads requests of callers and reports those that are complete. */
export interface RequestReceiver {
  receive(req: IncomingMessage, res: ServerResponse): Promise<void>;
  applyLimits(limits: CallerLimits): void;
  /** Refuses what is open and whatever still arrives. */
  end(): void;
}

/** Dependencies of a request receiver. */
export interface RequestReceiverParts {
  codec: CallerCodec;
  open: OpenRequests;
  bodies: BodyReader;
  /** Lets a connection be closed after the answer that refuses its request. */
  closeAfter(req: IncomingMessage, res: ServerResponse): void;
  push(event: GatewayEvent): boolean;
}

/** Creates a receiver that knows no limits yet. */
export function createRequestReceiver(
  parts: RequestReceiverParts,
): RequestReceiver {
  const {codec, open} = parts;
  let limits: CallerLimits | undefined;
  let ended = false;
  let lastSuffix = 0;

  async function receive(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const head = headOf(req);
    const read = codec.read(head);
    if (!read.ok) return refuse(res, 'bad_request', '');
    const {callerId} = read.val;
    if (headBytes(head) > (limits?.maxHeadBytes ?? MAX_HEAD_BYTES)) {
      return refuse(res, 'head_too_large', callerId);
    }
    const maxBytes = limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    const body = await parts.bodies.read(req, res, maxBytes);
    if (body.ok) return accept(head, read.val, body.val, res);
    if (body.val !== 'aborted') refuse(res, BODY_REFUSALS[body.val], callerId);
  }

  function refuse(
    res: ServerResponse,
    refusal: Refusal,
    callerId: string,
  ): void {
    parts.closeAfter(res.req, res);
    sendRefusal(res, codec.refusal(refusal, callerId, undefined));
  }

  function accept(
    head: CallerHead,
    caller: CallerRequest,
    body: Buffer,
    res: ServerResponse,
  ): void {
    const {callerId, identity, ...fields} = caller;
    const reqId = assignReqId(callerId);
    const request = {head, callerId, body, res, answers: new Map()};
    res.on('close', () => onClosed(reqId, request));
    if (res.destroyed || res.closed) return;
    if (ended) return refuse(res, 'draining', callerId);
    open.set(reqId, request);
    const bodyBytes = body.length;
    const digest = createRequestDigest(head, identity, body);
    parts.push({
      kind: 'request_arrived',
      reqId,
      ...fields,
      bodyBytes,
      digest,
    });
  }

  function onClosed(reqId: string, request: OpenRequest): void {
    for (const answer of request.answers.values()) answer.release?.();
    if (open.delete(reqId)) parts.push({kind: 'caller_left', reqId});
  }

  /** The core has answered all it knows; the others came while it stopped. */
  function end(): void {
    ended = true;
    for (const {res, callerId} of open.values()) {
      if (res.headersSent) breakOff(res);
      else refuse(res, 'draining', callerId);
    }
    open.clear();
  }

  /** Numbers ids that are empty or in use: callers may repeat open ones. */
  function assignReqId(callerId: string): string {
    if (callerId !== '' && !open.has(callerId)) return callerId;
    lastSuffix += 1;
    return `${callerId}#${lastSuffix}`;
  }

  return {
    receive,
    applyLimits: next => {
      limits = next;
    },
    end,
  };
}

function headOf({method, url, headers, rawHeaders}: IncomingMessage) {
  return {method: method ?? '', target: url ?? '', headers, rawHeaders};
}

/** Smallest size of a head, as the parser does not tell what it left out. */
function headBytes({method, target, rawHeaders}: CallerHead): number {
  const lines = rawHeaders.length / 2;
  return rawHeaders.reduce(
    (sum, text) => sum + text.length,
    method.length + target.length + lines * LINE_OVERHEAD_BYTES,
  );
}
