import type {QuarantineEntry} from '../../quarantine/quarantine_entry.js';

/** The store's verdicts on parts of prompts. */
export interface QuarantineRead {
  kind: 'quarantine_read';
  entries: QuarantineEntry[];
}
