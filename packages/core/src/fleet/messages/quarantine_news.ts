import type {QuarantineEntry} from '../../quarantine/quarantine_entry.js';

/** Verdicts on parts of prompts that the sender knows. */
export interface QuarantineNews {
  kind: 'quarantine_news';
  entries: QuarantineEntry[];
  /** Whether the store holds all of them. */
  saved: boolean;
}
