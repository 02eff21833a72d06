import type {RowKey} from '../types/row_key.js';
import type {TableRow} from '../types/table_row.js';

/** Rows of a table by key. */
export type TableRows = ReadonlyMap<RowKey, TableRow>;

/** Rows of one type. */
export function ofType<T extends TableRow['type']>(
  rows: TableRows,
  type: T,
): Extract<TableRow, {type: T}>[] {
  return [...rows.values()].filter(
    (row): row is Extract<TableRow, {type: T}> => row.type === type,
  );
}
