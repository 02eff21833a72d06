/** The own lease while it is certainly held. */
export interface LeaseHold {
  /** Fencing token: offset of the acquire record. */
  token: number;
  /** Monotonic time from which no order may be sent under the lease. */
  validUntilMs: number;
}
