import type {TableRow} from '../../types/table_row.js';
import type {Column} from './column.js';
import {TABLE_COLUMNS} from './table_columns.js';

/** Type of a table row. */
export type RowType = TableRow['type'];

/** Every row type, in the order in which tables are shown. */
export const ROW_TYPES = Object.keys(TABLE_COLUMNS) as RowType[];

/** Whether a word is a row type. */
export function isRowType(word: string): word is RowType {
  return Object.hasOwn(TABLE_COLUMNS, word);
}

/** Returns the columns of a row type with their names. */
export function columnsOf(type: RowType): [string, Column<unknown>][] {
  return Object.entries(TABLE_COLUMNS[type]) as [string, Column<unknown>][];
}
