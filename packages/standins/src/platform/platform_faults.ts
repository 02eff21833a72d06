/** Faults that a test switches on; see `POST /control`. */
export interface PlatformFaults {
  /** Probability that a log call is refused with 503. */
  outage: number;
  /** Probability that an answer is late by `slowMs`. */
  slow: number;
  slowMs: number;
  /** Probability that an append takes effect without an answer. */
  lostAppends: number;
  /** Probability that the VM list or the weight store is unavailable. */
  otherOutage: number;
}

/** No faults. */
export function noPlatformFaults(): PlatformFaults {
  return {outage: 0, slow: 0, slowMs: 0, lostAppends: 0, otherOutage: 0};
}
