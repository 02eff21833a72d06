import type {NotRunProof} from './not_run_proof.js';
import type {OutcomeCode} from './outcome_code.js';

/** The whole answer was delivered up to its end marker. */
export interface Completed {
  kind: 'completed';
}

/** No endpoint acted on the request. */
export interface RejectedNotRun {
  kind: 'rejected_not_run';
  proof: NotRunProof;
  code: OutcomeCode;
  /** Advice for the caller in milliseconds, if a retry can help. */
  retryAfterMs?: number;
}

/** Idempotent work ended without a whole answer. */
export interface Failed {
  kind: 'failed';
  code: OutcomeCode;
}

/** Non-idempotent work was dispatched and its result is not known. */
export interface OutcomeUnknown {
  kind: 'outcome_unknown';
  code: OutcomeCode;
}

/** Idempotent work was dispatched and did not finish in time. */
export interface TimedOut {
  kind: 'timed_out';
  code: OutcomeCode;
}

/** How an admitted or refused request ended. */
export type Outcome =
  Completed | RejectedNotRun | Failed | OutcomeUnknown | TimedOut;
