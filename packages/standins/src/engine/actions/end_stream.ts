/** Sends the end marker. */
export interface EndStream {
  kind: 'end_stream';
  callId: string;
  /** Number of parts of the whole answer. */
  parts: number;
}
