/** Ends the caller's stream as complete. */
export interface EndStream {
  kind: 'end_stream';
  reqId: string;
}
