import type {LogStream} from '../../types/log_stream.js';

/** A stream could not be read. */
export interface LogReadFailed {
  kind: 'log_read_failed';
  stream: LogStream;
}
