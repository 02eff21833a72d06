import type {TableRow} from '../../types/table_row.js';
import type {Column} from './column.js';

/** Columns of a row type; the compiler holds them to the row's fields. */
export type RowColumns<R extends TableRow> = {
  [K in Exclude<keyof R, 'type'>]-?: Column<R[K]>;
};
