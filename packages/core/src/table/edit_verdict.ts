import type {RowKey} from '../types/row_key.js';

/** What the log's order decided about an edit. */
export interface EditVerdict {
  editId: string;
  author: string;
  wallMs: number;
  offset: number;
  accepted: boolean;
  /** Rows of the edit. */
  keys: RowKey[];
  /** Rows whose version had moved on; empty if accepted. */
  conflicts: RowKey[];
}
