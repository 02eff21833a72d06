/** The own lease while it is certain. */
export interface LeaseHold {
  /** Fencing token: offset of the acquire record. */
  token: number;
  /** Monotonic time from which nothing may be ordered under the lease. */
  validUntilMs: number;
}
