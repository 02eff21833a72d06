import type {ServerResponse} from 'node:http';
import type {BeginStream} from '@wisterialadder/core/gateway/actions/begin_stream.js';
import type {BreakStream} from '@wisterialadder/core/gateway/actions/break_stream.js';
import type {DeliverAnswer} from '@wisterialadder/core/gateway/actions/deliver_answer.js';
import type {DeliverPiece} from '@wisterialadder/core/gateway/actions/deliver_piece.js';
import type {EndStream} from '@wisterialadder/core/gateway/actions/end_stream.js';
import type {Refuse} from '@wisterialadder/core/gateway/actions/refuse.js';
import type {GatewayEvent} from '@wisterialadder/core/gateway/events/gateway_event.js';
import {breakOff} from './break_off.js';
import type {CallerCodec} from './caller_codec.js';
import type {OpenRequest, ReceivedAnswer} from './open_request.js';
import type {OpenRequests} from './open_requests.js';
import {sendBody} from './send_body.js';
import {sendRefusal} from './send_refusal.js';
import type {UnreadAnswers} from './unread_answers.js';

/** Writes answers to callers. */
export interface AnswerWriter {
  beginStream(action: BeginStream): void;
  deliverPiece(action: DeliverPiece): void;
  endStream(action: EndStream): void;
  breakStream(action: BreakStream): void;
  deliverAnswer(action: DeliverAnswer): void;
  refuse(action: Refuse): void;
}

/** Dependencies of an answer writer. */
export interface AnswerWriterParts {
  open: OpenRequests;
  codec: CallerCodec;
  unread: UnreadAnswers;
  /** Whether each answer closes its connection. */
  closing(): boolean;
  push(event: GatewayEvent): boolean;
  onError(err: unknown): void;
}

/** Creates a writer for the open requests. */
export function createAnswerWriter(parts: AnswerWriterParts): AnswerWriter {
  const {open, codec} = parts;

  /** Removes a request, so that its close is not reported as `caller_left`. */
  function removeOpen(reqId: string): OpenRequest | undefined {
    const request = open.get(reqId);
    open.delete(reqId);
    return request;
  }

  /** False if the head cannot be passed on, after an answer of its own. */
  function writeHead(request: OpenRequest, attempt: number): boolean {
    const {res, callerId} = request;
    try {
      const answer = request.answers.get(attempt);
      if (!answer) throw new Error(`no answer to attempt ${attempt}`);
      const headers = [...answer.head.headers];
      if (parts.closing()) headers.push('connection', 'close');
      if (answer.body) headers.push('content-length', `${bodyBytes(answer)}`);
      res.writeHead(answer.head.status, headers);
      return true;
    } catch (err) {
      parts.onError(err);
      res.setHeader('connection', 'close');
      sendRefusal(res, codec.refusal('broken', callerId, undefined));
      return false;
    }
  }

  function beginStream({reqId, attempt}: BeginStream): void {
    const request = open.get(reqId);
    if (!request || writeHead(request, attempt)) return;
    removeOpen(reqId);
    parts.push({kind: 'caller_left', reqId});
  }

  function deliverPiece({reqId, payload}: DeliverPiece): void {
    const request = open.get(reqId);
    if (!request) return;
    const {res} = request;
    if (res.write(payload)) return;
    const giveUp = (): void => giveUpStream(reqId, request);
    if (!parts.unread.holdStream(res, payload.length, giveUp)) giveUp();
  }

  /** The caller reads too slowly to wait for it any longer. */
  function giveUpStream(reqId: string, request: OpenRequest): void {
    breakOff(request.res);
    if (open.get(reqId) !== request) return;
    open.delete(reqId);
    parts.push({kind: 'caller_left', reqId});
  }

  function breakStream({reqId}: BreakStream): void {
    const request = removeOpen(reqId);
    if (request) breakOff(request.res);
  }

  function deliverAnswer({reqId, attempt}: DeliverAnswer): void {
    const request = removeOpen(reqId);
    if (!request) return;
    if (request.res.headersSent) return breakOff(request.res);
    if (!writeHead(request, attempt)) return;
    const answer = request.answers.get(attempt);
    if (answer?.body) deliverBody(request.res, answer);
    else request.res.end();
  }

  /** From here on the caller is the one who keeps the body in memory. */
  function deliverBody(res: ServerResponse, answer: ReceivedAnswer): void {
    answer.release?.();
    const unsentBytes = sendBody(res, blocksOf(answer));
    const giveUp = (): void => breakOff(res);
    parts.unread.holdBody(res, bodyBytes(answer), unsentBytes, giveUp);
  }

  function refuse({reqId, refusal, retryAfterMs}: Refuse): void {
    const request = removeOpen(reqId);
    if (!request) return;
    const {res, callerId} = request;
    if (parts.closing()) res.setHeader('connection', 'close');
    sendRefusal(res, codec.refusal(refusal, callerId, retryAfterMs));
  }

  return {
    beginStream,
    deliverPiece,
    endStream: ({reqId}) => removeOpen(reqId)?.res.end(),
    breakStream,
    deliverAnswer,
    refuse,
  };
}

function blocksOf({body, more = []}: ReceivedAnswer): Buffer[] {
  return body ? [body, ...more] : more;
}

function bodyBytes(answer: ReceivedAnswer): number {
  return blocksOf(answer).reduce((sum, {length}) => sum + length, 0);
}
