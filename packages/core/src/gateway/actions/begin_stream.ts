/** Passes the head of an attempt's stream on to the caller. */
export interface BeginStream {
  kind: 'begin_stream';
  reqId: string;
  attempt: number;
}
