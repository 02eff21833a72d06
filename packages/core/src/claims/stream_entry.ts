import type {ClaimEntry} from './claim_entry.js';
import type {OutcomeEntry} from './outcome_entry.js';

/** An entry of a claims batch. */
export type StreamEntry = ClaimEntry | OutcomeEntry;
