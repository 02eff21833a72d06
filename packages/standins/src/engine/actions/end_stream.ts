/** Sends the end marker of a stream and closes the response. */
export interface EndStream {
  kind: 'end_stream';
  callId: string;
  /** Number of parts of the whole answer, skipped ones included. */
  parts: number;
}
