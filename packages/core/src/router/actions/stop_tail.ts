import type {LogStream} from '../../types/log_stream.js';

export interface StopTail {
  kind: 'stop_tail';
  stream: LogStream;
}
