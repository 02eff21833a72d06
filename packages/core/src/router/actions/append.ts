import type {LogStream} from '../../types/log_stream.js';

/** Appends one record; answered by `append_settled` with the same id. */
export interface Append {
  kind: 'append';
  appendId: string;
  stream: LogStream;
  /** JSON text. */
  data: string;
}
