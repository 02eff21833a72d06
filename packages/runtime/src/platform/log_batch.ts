import type {LogRecord} from '@wisterialadder/core/types/log_record.js';

/** Result of reading a log stream. */
export interface LogBatch {
  /** Oldest offset that the log retains. */
  earliest: number;
  /** Offset after the newest record. */
  end: number;
  records: LogRecord[];
}
