import type {ClaimEntry} from './claim_entry.js';
import type {OutcomeEntry} from './outcome_entry.js';

/** What a batch carries. */
export type StreamEntry = ClaimEntry | OutcomeEntry;
