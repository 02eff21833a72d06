import type {TableRow} from '../../types/table_row.js';
import type {Column} from './column.js';

/** Columns of a row type, which the compiler checks against its fields. */
export type RowColumns<R extends TableRow> = {
  [K in Exclude<keyof R, 'type'>]-?: Column<R[K]>;
};
