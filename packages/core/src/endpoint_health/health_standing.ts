/** How one endpoint has answered lately. */
export interface HealthStanding {
  /** Failures since the last success. */
  failures: number;
  /** Reason of the newest failure; empty if there was none. */
  lastFailure: string;
  /** Steady clock; it gets no work until then. */
  asideUntilMs: number;
  /** How many times slower than its profile it is. */
  pace: number;
}
