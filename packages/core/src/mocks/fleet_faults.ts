/** Faults of a virtual fleet; they can change while it runs. */
export interface FleetFaults {
  logDown: boolean;
  /** Maximum latency of an append or a read. */
  logLatencyMs: number;
  /** Probabilities of losing an append's answer, or the whole append. */
  lostAnswers: number;
  lostAppends: number;
  /** Maximum latency of a peer message; messages can be reordered. */
  peerLatencyMs: number;
  lostMessages: number;
  repeatedMessages: number;
  /** Probability that an attempt ends without a complete answer. */
  failedAttempts: number;
}

/** Settings without faults. */
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
