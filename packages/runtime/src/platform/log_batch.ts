import type {LogRecord} from '@wisterialadder/core/types/log_record.js';

/** Answer to a read. */
export interface LogBatch {
  /** Oldest offset that the log still has. */
  earliest: number;
  /** Offset after the newest record. */
  end: number;
  records: LogRecord[];
}
