/** Sends the response headers of a stream. */
export interface BeginStream {
  kind: 'begin_stream';
  callId: string;
  /** Sent as `wl-request-id` also on a crossed answer, which shows the mix-up. */
  reqId: string;
  sessionId: string;
}
