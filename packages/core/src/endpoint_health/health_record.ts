/** How one endpoint has answered lately. */
export interface HealthRecord {
  /** Failures since the last success. */
  failures: number;
  /** Reason of the newest failure; empty if there was none. */
  lastFailure: string;
  /** Steady clock; it gets no work until then. */
  ejectedUntilMs: number;
  /** Steady clock; when it last answered. */
  lastSuccessMs: number;
  /** Steady clock; when it was last tried after a failure. */
  lastAttemptMs: number;
  /** How many times slower than its profile it is. */
  slowdown: number;
}
