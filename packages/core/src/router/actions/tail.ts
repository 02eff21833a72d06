import type {LogStream} from '../../types/log_stream.js';

/** Starts to follow a stream from an offset, or moves a follower there. */
export interface Tail {
  kind: 'tail';
  stream: LogStream;
  from: number;
}
