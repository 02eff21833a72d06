/** The head of a stream arrived from an endpoint. */
export interface StreamStarted {
  kind: 'stream_started';
  reqId: string;
  attempt: number;
}
