import {
  columnsOf,
  type RowType,
} from '@wisterialadder/core/administration/columns/row_type.js';
import type {VersionedRow} from '@wisterialadder/core/table/versioned_row.js';
import {ROW_VERSION_COLUMN} from './row_version_column.js';
import type {Report} from '../output/report.js';

/** Rows of one type as formatted cells, with their versions. */
export function tableReport(
  type: RowType,
  rows: readonly VersionedRow[],
): Report {
  const columns = columnsOf(type);
  const [nameColumn, ...others] = columns.map(([name]) => name);
  const rowsOfType = rows
    .filter(({row}) => row.type === type)
    .sort((a, b) => (a.key < b.key ? -1 : 1));
  return {
    columns: [nameColumn ?? 'name', ROW_VERSION_COLUMN, ...others],
    rows: rowsOfType.map(({row, version}) => {
      const [name = '', ...cells] = columns.map(([column, rule]) =>
        rule.format(Reflect.get(row, column)),
      );
      return [name, version, ...cells];
    }),
    notes: [],
    json: tableJson(rowsOfType),
  };
}

/** Rows in the JSON format that `table import` reads. */
export function tableJson(rows: readonly VersionedRow[]): unknown {
  return {
    rows: rows.map(({row, version}) => {
      const {type, name, ...values} = row;
      return {type, name, version, values};
    }),
  };
}
