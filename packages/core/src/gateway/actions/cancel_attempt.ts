/** Cancels an attempt whose answer is not needed any more. */
export interface CancelAttempt {
  kind: 'cancel_attempt';
  reqId: string;
  attempt: number;
}
