import type {RowKey} from '../types/row_key.js';
import type {TableRow} from '../types/table_row.js';

/** Sets or removes one row. */
export interface RowChange {
  key: RowKey;
  /** Version of the row that the edit was based on; 0 if there was none. */
  base: number;
  /** Null removes the row. */
  row: TableRow | null;
}
