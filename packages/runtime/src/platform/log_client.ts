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
   * Reads records from an offset and waits up to `waitMs` if there are none.
   * If the log no longer retains the offset, reads from the earliest record.
   */
  abstract read(
    stream: string,
    from: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<LogBatch, LogServiceError>>;
}
