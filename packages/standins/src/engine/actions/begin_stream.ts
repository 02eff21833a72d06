/** Sends the response headers of a stream. */
export interface BeginStream {
  kind: 'begin_stream';
  callId: string;
  /** Sent as `wl-request-id`, so that the client can detect a mix-up. */
  reqId: string;
  sessionId: string;
}
