import type {Dispatcher} from 'undici';
import {hasHints} from '@wisterialadder/core/endpoint_hints/endpoint_hints.js';
import type {StartAttempt} from '@wisterialadder/core/gateway/actions/start_attempt.js';
import type {AttemptEvidence} from '@wisterialadder/core/types/attempt_evidence.js';
import type {AttemptFailure} from '@wisterialadder/core/types/attempt_failure.js';
import type {ReceivedAnswer} from '../callers/open_request.js';
import type {MemoryBudget} from '@wisterialadder/runtime/memory/memory_budget.js';
import {createAnswerDiscard} from './answer_discard.js';
import {createAnswerOverhead} from './answer_overhead.js';
import {createHeldAnswer} from './held_answer.js';
import {interimFault, isDelimited, isFinalStatus} from './answer_framing.js';
import {attemptFailureOf} from './attempt_error.js';
import type {AttemptSink} from './attempt_sink.js';
import {isOwnAnswer} from './own_answer.js';
import type {ConnectionLease} from './connection_pool.js';
import type {EndpointCodec} from './endpoint_codec.js';
import {createPieceFramer} from './piece_framer.js';
import type {ParsedAnswer} from './parsed_answer.js';

/** Reads the answer to one attempt. */
export interface AttemptHandler extends Dispatcher.DispatchHandler {
  /** Fails the attempt if most of what arrives is no part of an answer. */
  checkOverhead(): void;
  /** Ends the attempt without any further call of the sink. */
  cancel(): void;
}

/** Dependencies of an attempt handler. */
export interface AttemptHandlerParts {
  action: StartAttempt;
  lease: ConnectionLease;
  codec: EndpointCodec;
  callerId: string;
  method: string;
  /** Interim answers that may come before the answer. */
  maxInterim: number;
  sink: AttemptSink;
  /** For what is kept until it is complete. */
  budget: MemoryBudget;
  /** Stores the head, and the body once complete, for the caller. */
  onAnswer(answer: ReceivedAnswer): void;
  /** Called once when the attempt is finished. */
  onEnd(): void;
}

/** Creates the handler of an attempt that is about to be sent. */
export function createAttemptHandler(
  parts: AttemptHandlerParts,
): AttemptHandler {
  const {action, lease, codec, sink} = parts;
  const held = createHeldAnswer(parts.budget);
  const {release} = held;
  const framer = createPieceFramer();
  let sent = false;
  let finished = false;
  let delimited = true;
  let answer: ParsedAnswer | undefined;
  const discard = createAnswerDiscard(lease);
  const overhead = createAnswerOverhead(lease.connection);
  let interims = 0;
  let lastPiece = action.resumeAfter;

  function finish(): void {
    if (finished) return;
    finished = true;
    parts.onEnd();
  }

  /** Ends the attempt and closes its connection. */
  function fail(reason: AttemptFailure, detail: string): void {
    if (finished) return;
    finish();
    held.drop();
    lease.discard();
    sink.failed(reason, detail, answer?.atFault ?? '', evidence());
  }

  function head(status: number, headers: NodeJS.Dict<string | string[]>): void {
    if (finished) return;
    if (!isFinalStatus(status)) {
      interims += 1;
      return failOn(interimFault(status, interims, parts.maxInterim));
    }
    delimited = isDelimited(parts.method, status, headers);
    answer = codec.read(status, headers, parts.callerId);
    const {verdict} = answer;
    if (verdict === 'invalid') return fail('broken', 'not an answer');
    if (!isOwnAnswer(answer, lease.earlierRequests))
      return fail('broken', 'answer of another request');
    // The answer of another instance says nothing about the endpoint.
    if (verdict !== 'wrong_instance' && hasHints(answer.hints)) {
      sink.hinted(answer.hints);
    }
    if (verdict !== 'answer') return reportNotRun(verdict, answer.atFault);
    answer.head.streamed &&= action.streamed;
    if (!answer.head.streamed) return;
    parts.onAnswer({head: answer.head, body: undefined, release});
    sink.streamStarted();
  }

  /** The head says it all; the body is read for the connection only. */
  function reportNotRun(verdict: AttemptFailure, atFault: string): void {
    finish();
    release();
    discard.begin();
    sink.failed(verdict, '', atFault, evidence());
  }

  function data(bytes: Buffer): void {
    if (discard.begun()) return discard.received(bytes.length);
    if (finished || !answer) return;
    overhead.content(bytes.length);
    if (!answer.head.streamed) return failOn(held.collect(bytes));
    try {
      for (const {id, payload} of framer.feed(bytes)) {
        // Comments and repetitions carry nothing, however many there are.
        if (id <= lastPiece) {
          overhead.content(-payload.length);
          continue;
        }
        lastPiece = id;
        sink.piece(id, payload);
      }
      failOn(held.holdEvent(framer.pendingBytes()));
    } catch (err) {
      fail('broken', (err as Error).message);
    }
  }

  function evidence(): AttemptEvidence {
    return {
      connection: lease.connectionId,
      earlierRequests: lease.earlierRequests,
      answer: answer?.identity ?? 'none',
    };
  }

  function failOn(fault: string | undefined): void {
    if (fault !== undefined) fail('broken', fault);
  }

  function checkOverhead(): void {
    if (overhead.isTooLarge()) fail('broken', 'no answer');
  }

  /** An answer without a length is complete only if it was not reset. */
  function responseEnded(): void {
    if (discard.begun()) return discard.ended(answer?.keepAliveMs);
    if (delimited || finished) return complete();
    void lease.connection.closedByEndpoint().then(closed => {
      if (closed) complete();
      else fail('disconnected', 'reset');
    });
  }

  function complete(): void {
    if (finished) return;
    if (!answer) return fail('broken', 'no answer');
    if (answer.head.streamed) {
      if (framer.pendingBytes() > 0) return cutOff('event cut off');
      if (!delimited && lastPiece === action.resumeAfter) {
        return cutOff('no event');
      }
      finish();
      release();
      lease.release(answer.keepAliveMs);
      return sink.streamEnded(delimited);
    }
    finish();
    lease.release(answer.keepAliveMs);
    parts.onAnswer({head: answer.head, ...held.take(), release});
    sink.answered(answer.head.status);
  }

  /** Without a length, only the connection has ended, not the answer. */
  function cutOff(detail: string): void {
    fail(delimited ? 'broken' : 'disconnected', detail);
  }

  return {
    onRequestStart: () => {
      sent = true;
    },
    onResponseStart: (_controller, status, headers) => head(status, headers),
    onResponseData: (_controller, bytes) => data(bytes),
    onResponseEnd: responseEnded,
    onResponseError: (_controller, err) => {
      discard.failed();
      fail(attemptFailureOf(err, sent), err.message);
    },
    checkOverhead,
    cancel: () => {
      if (!finished) held.drop();
      finish();
      lease.discard();
    },
  };
}
