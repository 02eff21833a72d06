/** Cuts a stream that has begun, so that it cannot look complete. */
export interface BreakStream {
  kind: 'break_stream';
  reqId: string;
}
