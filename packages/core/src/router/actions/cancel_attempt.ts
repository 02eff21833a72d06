/** Ends an attempt; the adapter also tells the endpoint. */
export interface CancelAttempt {
  kind: 'cancel_attempt';
  reqId: string;
  attempt: number;
}
