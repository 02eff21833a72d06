import type {AttemptFailure} from '@wisterialadder/core/types/attempt_failure.js';

/** Receives the parts and the end of an endpoint's response to an attempt. */
export interface AttemptSink {
  delta(sequence: number, payload: string): void;
  /** The end marker was read; the complete answer has `count` parts. */
  ended(count: number): void;
  failed(failure: AttemptFailure, leaving: boolean): void;
}
