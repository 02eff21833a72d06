import type {VersionedRow} from '@wisterialadder/core/table/versioned_row.js';
import type {RowType} from '@wisterialadder/core/administration/columns/row_type.js';

/** A row as the API returns it. */
export interface RowView {
  type: RowType;
  name: string;
  version: number;
  /** Columns without `type` and `name`. */
  values: Record<string, unknown>;
}

/** Converts a row of the table. */
export function rowView({row, version}: VersionedRow): RowView {
  const {type, name, ...values} = row;
  return {type, name, version, values};
}
