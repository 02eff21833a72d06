import type {Refusal} from '@wisterialadder/core/forwarding/refusal.js';
import type {Result} from '@wisterialadder/core/shared/result.js';
import type {CallerHead} from './caller_head.js';
import type {CallerRequest} from './caller_request.js';
import type {RefusalHead} from './refusal_head.js';

/** How callers speak. */
export abstract class CallerCodec {
  /** Reads the head of a request; the error says what is wrong with it. */
  abstract read(head: CallerHead): Result<CallerRequest, string>;

  /** Head of an answer of this process's own. */
  abstract refusal(
    refusal: Refusal,
    callerId: string,
    retryAfterMs: number | undefined,
  ): RefusalHead;
}
