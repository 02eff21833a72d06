/** Faults of a virtual fleet; changed while it runs. */
export interface FleetFaults {
  logDown: boolean;
  /** Longest time of an append or a read, in milliseconds. */
  logLatencyMs: number;
  /** Probabilities of losing an append's answer, or the whole append. */
  lostAnswers: number;
  lostAppends: number;
  /** Longest time of a peer message; messages overtake each other. */
  peerLatencyMs: number;
  lostMessages: number;
  repeatedMessages: number;
  /** Probability that an attempt ends other than with a whole answer. */
  failedAttempts: number;
}

/** A fleet in which nothing fails. */
export function noFaults(): FleetFaults {
  return {
    logDown: false,
    logLatencyMs: 10,
    lostAnswers: 0,
    lostAppends: 0,
    peerLatencyMs: 10,
    lostMessages: 0,
    repeatedMessages: 0,
    failedAttempts: 0,
  };
}
