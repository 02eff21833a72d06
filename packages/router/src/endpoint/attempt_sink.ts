import type {AttemptFailure} from '@wisterialadder/core/types/attempt_failure.js';

/** Takes what an endpoint answers to one attempt. */
export interface AttemptSink {
  delta(sequence: number, payload: string): void;
  /** The end marker was read; `count` parts make up the whole answer. */
  ended(count: number): void;
  failed(failure: AttemptFailure, leaving: boolean): void;
}
