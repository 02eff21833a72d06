/** Ends an attempt whose answer is no longer wanted. */
export interface CancelAttempt {
  kind: 'cancel_attempt';
  reqId: string;
  attempt: number;
}
