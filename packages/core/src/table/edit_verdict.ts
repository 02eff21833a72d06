import type {RowKey} from '../types/row_key.js';

/** Whether an edit was accepted, as the order of the log determines. */
export interface EditVerdict {
  editId: string;
  author: string;
  wallMs: number;
  offset: number;
  accepted: boolean;
  /** Rows of the edit. */
  keys: RowKey[];
  /** Rows that were not at their base version; empty if accepted. */
  conflicts: RowKey[];
}
