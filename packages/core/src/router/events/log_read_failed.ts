import type {LogStream} from '../../types/log_stream.js';

export interface LogReadFailed {
  kind: 'log_read_failed';
  stream: LogStream;
}
