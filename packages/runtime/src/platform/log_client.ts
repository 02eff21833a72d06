import type {Result} from '@wisterialadder/core/shared/result.js';
import type {LogBatch} from './log_batch.js';
import type {LogServiceError} from './log_error.js';

/** The platform's append-only log. */
export abstract class LogClient {
  /** Appends one record and returns its offset. */
  abstract append(
    stream: string,
    data: string,
  ): Promise<Result<number, LogServiceError>>;

  /**
   * Reads records from an offset; waits up to `waitMs` for one to appear. If
   * the offset has passed out of retention, reads from the earliest.
   */
  abstract read(
    stream: string,
    from: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<LogBatch, LogServiceError>>;
}
