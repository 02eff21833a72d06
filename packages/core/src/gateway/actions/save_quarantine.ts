import type {QuarantineEntry} from '../../quarantine/quarantine_entry.js';

/** Records a verdict on a part of prompts in the store. */
export interface SaveQuarantine {
  kind: 'save_quarantine';
  entry: QuarantineEntry;
}
