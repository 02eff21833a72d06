import type {OutcomeEntry} from './outcome_entry.js';

/** An outcome of this router that has not been acknowledged. */
export interface UnrecordedOutcome {
  entry: OutcomeEntry;
  endedMs: number;
  sends: number;
  resendMs: number;
}
