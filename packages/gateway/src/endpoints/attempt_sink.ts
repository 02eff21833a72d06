import type {EndpointHints} from '@wisterialadder/core/endpoint_hints/endpoint_hints.js';
import type {AttemptEvidence} from '@wisterialadder/core/types/attempt_evidence.js';
import type {AttemptFailure} from '@wisterialadder/core/types/attempt_failure.js';

/** Receives the progress and the result of an attempt. */
export interface AttemptSink {
  /** The head of the answer says something about its endpoint. */
  hinted(hints: EndpointHints): void;
  streamStarted(): void;
  piece(id: number, payload: Uint8Array): void;
  /** @param delimited whether the end of the stream was marked */
  streamEnded(delimited: boolean): void;
  /** An answer that is not a stream has arrived completely. */
  answered(status: number): void;
  failed(
    failure: AttemptFailure,
    detail: string,
    atFault: string,
    evidence: AttemptEvidence,
  ): void;
}
