/** Settings of the lease. */
export interface LeaseConfig {
  /** Identifies this start of the process; never reused by another start. */
  holder: string;
  durationMs: number;
}
