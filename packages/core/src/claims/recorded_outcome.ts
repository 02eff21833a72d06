/**
 * How a claimed request ended, as recorded. `not_run` releases the key for a
 * later claim.
 */
export type RecordedOutcome = 'completed' | 'unknown' | 'not_run';
