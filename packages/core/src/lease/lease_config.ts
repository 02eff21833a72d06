/** Settings of the lease. */
export interface LeaseConfig {
  /** Name of this start of the process; no other start ever has it. */
  holder: string;
  durationMs: number;
}
