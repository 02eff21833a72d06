import type {StartAttempt} from '@wisterialadder/core/gateway/actions/start_attempt.js';
import type {CallerHead} from '../callers/caller_head.js';
import {EndpointCodec} from '../endpoints/endpoint_codec.js';
import type {ParsedAnswer} from '../endpoints/parsed_answer.js';

/**
 * A codec for tests: answers echo `req-id`, the caller's header or else the
 * request's id, and `run-id` is always the latter; `not-run` refuses the attempt;
 * `leaving` and `pause-ms` are hints.
 */
export class FakeEndpointCodec extends EndpointCodec {
  override headers(action: StartAttempt, {headers}: CallerHead): string[] {
    const callerId = String(headers['req-id'] ?? action.reqId);
    return ['req-id', callerId, 'run-id', action.reqId];
  }

  override read(
    status: number,
    headers: NodeJS.Dict<string | string[]>,
    callerId: string,
  ): ParsedAnswer {
    return {
      verdict: headers['not-run'] ? 'said_not_run' : 'answer',
      identity: identityOf(String(headers['req-id'] ?? ''), callerId),
      head: {
        status,
        headers: [],
        streamed: headers['content-type'] === 'text/event-stream',
      },
      keepAliveMs: 60_000,
      atFault: '',
      hints: {
        leaving: headers['leaving'] !== undefined,
        pauseMs: pauseMs(headers['pause-ms']),
        limit: 'unknown',
      },
    };
  }
}

function identityOf(named: string, callerId: string): ParsedAnswer['identity'] {
  if (named === callerId) return 'named';
  return named === '' ? 'unnamed' : 'other';
}

function pauseMs(header: string | string[] | undefined): number | undefined {
  return header === undefined ? undefined : Number(header);
}
