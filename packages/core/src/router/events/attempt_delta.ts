/** Part of an answer. */
export interface AttemptDelta {
  kind: 'attempt_delta';
  reqId: string;
  attempt: number;
  /** Position of the part in the whole answer, from 0. */
  sequence: number;
  /** Opaque to the core. */
  payload: string;
}
