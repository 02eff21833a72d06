/** Aborts a stream that has started, so that it cannot look complete. */
export interface BreakStream {
  kind: 'break_stream';
  reqId: string;
}
