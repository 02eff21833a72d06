import type {OutcomeEntry} from '../../claims/outcome_entry.js';

/** Asks a recorder to record how a claim ended; resent until receipted. */
export interface OutcomeReport {
  kind: 'outcome_report';
  outcome: OutcomeEntry;
}
