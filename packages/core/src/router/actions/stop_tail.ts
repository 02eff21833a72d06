import type {LogStream} from '../../types/log_stream.js';

/** Stops following a stream. */
export interface StopTail {
  kind: 'stop_tail';
  stream: LogStream;
}
