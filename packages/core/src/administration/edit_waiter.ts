/** A client that waits for the verdict of an edit. */
export interface EditWaiter {
  waiter: string;
  /** Monotonic time at which the answer is "pending". */
  untilMs: number;
}
