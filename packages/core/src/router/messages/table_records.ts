import type {LogRecord} from '../../types/log_record.js';

/** Edits of the table stream; offsets that are not listed hold no edit. */
export interface TableRecords {
  kind: 'table_records';
  /** First offset that the message covers. */
  from: number;
  /** Offset after the last one that the message covers. */
  to: number;
  records: LogRecord[];
}
