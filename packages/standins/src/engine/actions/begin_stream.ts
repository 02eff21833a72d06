/** Sends the headers of a streamed answer. */
export interface BeginStream {
  kind: 'begin_stream';
  callId: string;
  /** Request that the answer belongs to, for the receiver to check. */
  reqId: string;
  sessionId: string;
}
