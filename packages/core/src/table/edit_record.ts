import type {RowChange} from './row_change.js';

/** An operator's edit as it stands on the log. */
export interface EditRecord {
  type: 'edit';
  editId: string;
  author: string;
  /** Wall clock of the writer, for the audit trail only. */
  wallMs: number;
  changes: RowChange[];
}
