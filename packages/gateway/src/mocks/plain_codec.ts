import type {StartAttempt} from '@wisterialadder/core/gateway/actions/start_attempt.js';
import type {CallerHead} from '../callers/caller_head.js';
import {EndpointCodec} from '../endpoints/endpoint_codec.js';
import type {ReadAnswer} from '../endpoints/read_answer.js';

/** A codec for tests: `req-id` is echoed, `not-run` says what it says. */
export class PlainCodec extends EndpointCodec {
  override headers(
    _action: StartAttempt,
    _head: CallerHead,
    callerId: string,
  ): string[] {
    return ['req-id', callerId];
  }

  override read(
    status: number,
    headers: NodeJS.Dict<string | string[]>,
    callerId: string,
  ): ReadAnswer {
    return {
      verdict: headers['not-run'] ? 'said_not_run' : 'answer',
      echoed: headers['req-id'] === callerId,
      head: {
        status,
        headers: [],
        streamed: headers['content-type'] === 'text/event-stream',
      },
      keepAliveMs: 60_000,
      atFault: '',
    };
  }
}
