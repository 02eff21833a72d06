import type {LogRecord} from '../../types/log_record.js';
import type {LogStream} from '../../types/log_stream.js';

/** Records read from a stream, in order. */
export interface LogRead {
  kind: 'log_read';
  stream: LogStream;
  /** Offset that the read requested. */
  from: number;
  /** Oldest offset that the log still has. */
  earliest: number;
  /** Offset after the newest record. */
  end: number;
  records: LogRecord[];
}
