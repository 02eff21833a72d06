import type {Dispatcher} from 'undici';
import type {StartAttempt} from '@wisterialadder/core/gateway/actions/start_attempt.js';
import type {AttemptFailure} from '@wisterialadder/core/types/attempt_failure.js';
import type {ReceivedAnswer} from '../callers/open_request.js';
import type {AttemptSink} from './attempt_sink.js';
import type {ConnectionLease} from './connection_pool.js';
import type {EndpointCodec} from './endpoint_codec.js';
import {createPieceFramer} from './piece_framer.js';
import type {ParsedAnswer} from './parsed_answer.js';

/** Headers that say where an answer ends. */
const LENGTH_HEADERS = ['content-length', 'transfer-encoding'];
/** Largest body of an answer that is no stream. */
const MAX_ANSWER_BYTES = 16_777_216;

/** Reads the answer to one attempt. */
export interface AttemptHandler extends Dispatcher.DispatchHandler {
  /** Ends the attempt; nothing more is told of it. */
  cancel(): void;
}

/** What the handler needs. */
export interface AttemptHandlerParts {
  action: StartAttempt;
  lease: ConnectionLease;
  codec: EndpointCodec;
  callerId: string;
  sink: AttemptSink;
  /** Keeps the head, and the body once it is whole, for the caller. */
  answered(answer: ReceivedAnswer): void;
  /** Called once when the attempt is over. */
  ended(): void;
}

/** Creates the handler of an attempt that is about to be sent. */
export function createAttemptHandler(
  parts: AttemptHandlerParts,
): AttemptHandler {
  const {action, lease, codec, sink} = parts;
  const framer = createPieceFramer();
  let sent = false;
  let over = false;
  let framed = true;
  let answer: ParsedAnswer | undefined;
  let body: Buffer[] = [];
  let bodyBytes = 0;

  function end(): void {
    if (over) return;
    over = true;
    parts.ended();
  }

  /** Ends the attempt and the connection, of which nothing more is used. */
  function fail(reason: AttemptFailure, detail: string): void {
    if (over) return;
    end();
    lease.discard();
    sink.failed(reason, detail, answer?.atFault ?? '');
  }

  function head(status: number, headers: NodeJS.Dict<string | string[]>): void {
    if (over || status < 200) return;
    framed = LENGTH_HEADERS.some(name => headers[name] !== undefined);
    answer = codec.read(status, headers, parts.callerId);
    const {verdict, echoed} = answer;
    // On a kept connection, an answer without the id may be an earlier one's.
    const unsure = !echoed && (verdict === 'answer' || lease.reused);
    if (unsure) return fail('broken', 'answer of another request');
    if (verdict !== 'answer') return;
    answer.head.streamed &&= action.streamed;
    if (!answer.head.streamed) return;
    parts.answered({head: answer.head, body: undefined});
    sink.streamStarted();
  }

  function data(bytes: Buffer): void {
    if (over || !answer) return;
    if (!answer.head.streamed) {
      bodyBytes += bytes.length;
      if (bodyBytes > MAX_ANSWER_BYTES)
        return fail('broken', 'answer too long');
      body.push(bytes);
      return;
    }
    try {
      for (const {id, payload} of framer.feed(bytes)) {
        sink.piece(id, payload);
      }
    } catch (err) {
      fail('broken', (err as Error).message);
    }
  }

  /** An answer without a length is whole only if it was not cut off. */
  function ended(): void {
    if (framed || over) return complete();
    void lease.connection.closedByEndpoint().then(closed => {
      if (closed) complete();
      else fail(failure(), 'reset');
    });
  }

  function complete(): void {
    if (over) return;
    if (!answer) return fail('broken', 'no answer');
    const {verdict, keepAliveMs} = answer;
    if (verdict === 'answer' && answer.head.streamed) {
      if (framer.pendingBytes() > 0) return fail('broken', 'event cut off');
      end();
      lease.release(keepAliveMs);
      return sink.streamEnded();
    }
    end();
    lease.release(keepAliveMs);
    if (verdict === 'answer') {
      parts.answered({head: answer.head, body: Buffer.concat(body)});
      body = [];
      return sink.answered(answer.head.status);
    }
    sink.failed(verdict, '', answer.atFault);
  }

  function failure(): AttemptFailure {
    if (!sent) return 'connect_failed';
    if (answer && answer.verdict !== 'answer') return answer.verdict;
    return 'broken';
  }

  return {
    onRequestStart: () => {
      sent = true;
    },
    onResponseStart: (_controller, status, headers) => head(status, headers),
    onResponseData: (_controller, bytes) => data(bytes),
    onResponseEnd: ended,
    onResponseError: (_controller, err) => fail(failure(), err.message),
    cancel: () => {
      end();
      lease.discard();
    },
  };
}
