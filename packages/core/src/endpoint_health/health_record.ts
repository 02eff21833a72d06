/** Health of one endpoint, by its recent attempts. */
export interface HealthRecord {
  /** Failures since the last success. */
  failures: number;
  /** Reason of the newest failure; empty if there was none. */
  lastFailure: string;
  /** Steady clock; end of the ejection. */
  ejectedUntilMs: number;
  /** Steady clock; last success. */
  lastSuccessMs: number;
  /** Steady clock; last attempt after a failure. */
  lastAttemptMs: number;
  /** How many times slower than its profile it is. */
  slowdown: number;
}
