import type {RowKey} from '../types/row_key.js';
import type {EditConflict} from './edit_conflict.js';

/**
 * What is known of an edit. `accepted` and `conflict`: read back from the log.
 * `not_applied`: the append surely failed. `pending`: not known yet.
 */
export type EditState = 'accepted' | 'conflict' | 'not_applied' | 'pending';

/** Answer to whoever asks about an edit. */
export interface EditStatus {
  editId: string;
  state: EditState;
  author: string;
  keys: RowKey[];
  /** New version of the edit's rows; 0 unless accepted. */
  version: number;
  conflicts: EditConflict[];
}
