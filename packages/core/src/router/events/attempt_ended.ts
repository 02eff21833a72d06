/** An answer reached its end marker. */
export interface AttemptEnded {
  kind: 'attempt_ended';
  reqId: string;
  attempt: number;
  /** Number of parts of the whole answer, to detect a missing one. */
  sequence: number;
}
