import type {RowKey} from '../types/row_key.js';
import type {TableRow} from '../types/table_row.js';

/** A row and the version of its last change. */
export interface VersionedRow {
  key: RowKey;
  /** One more than the offset of the edit that changed the row. */
  version: number;
  row: TableRow;
}
