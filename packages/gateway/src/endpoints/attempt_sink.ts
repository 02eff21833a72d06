import type {AttemptFailure} from '@wisterialadder/core/types/attempt_failure.js';

/** Takes what becomes of an attempt. */
export interface AttemptSink {
  streamStarted(): void;
  piece(id: number, payload: Uint8Array): void;
  streamEnded(): void;
  /** The whole answer that is no stream has arrived. */
  answered(status: number): void;
  failed(failure: AttemptFailure, detail: string, atFault: string): void;
}
