import type {TableRow} from './table_row.js';

/** Identifies a row: `class/NAME`, `customer/NAME`, `endpoint/NAME`, … */
export type RowKey = `${TableRow['type']}/${string}`;

/** Returns the key under which a row is stored. */
export function rowKey(row: TableRow): RowKey {
  return `${row.type}/${row.name}`;
}
