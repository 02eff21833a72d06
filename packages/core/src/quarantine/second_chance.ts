import {causeKind} from './cause_kind.js';
import type {QuarantineEntry} from './quarantine_entry.js';

/**
 * Pauses before a quarantined part is tried again, in milliseconds, one for
 * each trial; after the last one, only an operator lifts the quarantine.
 */
const TRIAL_AFTER_MS = [30_000, 300_000];

/**
 * Whether a prompt with a quarantined part may be sent once more. A request is
 * not: it may be what ends engines, whatever else has changed.
 * @param wallMs Unix milliseconds
 */
export function deservesTrial(entry: QuarantineEntry, wallMs: number): boolean {
  if (causeKind(entry.cause) === 'request') return false;
  const pauseMs = TRIAL_AFTER_MS[entry.trials];
  return pauseMs !== undefined && wallMs - entry.changedAtMs >= pauseMs;
}
