import type {Refusal} from '@wisterialadder/core/forwarding/refusal.js';
import type {Result} from '@wisterialadder/core/shared/result.js';
import type {CallerHead} from './caller_head.js';
import type {CallerRequest} from './caller_request.js';
import type {RefusalHead} from './refusal_head.js';

/** Protocol between callers and the gateway. */
export abstract class CallerCodec {
  /** Parses the head of a request; the error says what is invalid. */
  abstract read(head: CallerHead): Result<CallerRequest, string>;

  /** Encodes the head of the answer that refuses a request. */
  abstract refusal(
    refusal: Refusal,
    callerId: string,
    retryAfterMs: number | undefined,
  ): RefusalHead;
}
