import type {RowChange} from './row_change.js';

/** An operator's edit, as stored in the log. */
export interface EditRecord {
  type: 'edit';
  editId: string;
  author: string;
  /** Wall clock of the writer, for the audit trail only. */
  wallMs: number;
  changes: RowChange[];
}
