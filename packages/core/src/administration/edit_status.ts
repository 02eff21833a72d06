import type {RowKey} from '../types/row_key.js';
import type {EditState} from './edit_state.js';
import type {EditConflict} from './edit_conflict.js';

/** State of an edit, as reported to clients. */
export interface EditStatus {
  editId: string;
  state: EditState;
  author: string;
  keys: RowKey[];
  /** New version of the edit's rows; 0 unless accepted. */
  version: number;
  conflicts: EditConflict[];
}
