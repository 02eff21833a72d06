/** Sends the headers of a streamed answer. */
export interface BeginStream {
  kind: 'begin_stream';
  callId: string;
  sessionId: string;
}
