import type {QuarantineEntry} from '../../quarantine/quarantine_entry.js';

/** The store has recorded a verdict on a part of prompts. */
export interface QuarantineSaved {
  kind: 'quarantine_saved';
  entry: QuarantineEntry;
}
