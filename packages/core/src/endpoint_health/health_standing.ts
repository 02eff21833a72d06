/** How one endpoint has answered lately. */
export interface HealthStanding {
  /** Failures since the last success. */
  failures: number;
  /** Reason of the newest failure; empty if there was none. */
  lastFailure: string;
  /** Steady clock; it gets no work until then. */
  asideUntilMs: number;
  /** Steady clock; when it last answered. */
  soundMs: number;
  /** Steady clock; when it was last tried after a failure. */
  triedMs: number;
  /** How many times slower than its profile it is. */
  pace: number;
}
