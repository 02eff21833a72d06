/** Injected faults, set through `POST /control`. */
export interface PlatformFaults {
  /** Probability that a log call fails with 503. */
  outage: number;
  /** Probability that a response is delayed by `slowMs`. */
  slow: number;
  slowMs: number;
  /** Probability that an append takes effect but its response is lost. */
  lostAppends: number;
  /** Probability that a VM list or weight call fails with 503. */
  otherOutage: number;
}

/** All faults disabled. */
export function noPlatformFaults(): PlatformFaults {
  return {outage: 0, slow: 0, slowMs: 0, lostAppends: 0, otherOutage: 0};
}
