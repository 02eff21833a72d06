import type {LogStream} from '../../types/log_stream.js';

/** Follows a stream from an offset, or moves its follower there. */
export interface Tail {
  kind: 'tail';
  stream: LogStream;
  from: number;
}
