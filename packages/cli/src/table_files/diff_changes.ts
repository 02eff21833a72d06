import {columnsOf} from '@wisterialadder/core/administration/columns/row_type.js';
import type {RowChange} from '@wisterialadder/core/table/row_change.js';
import type {VersionedRow} from '@wisterialadder/core/table/versioned_row.js';
import type {TableRow} from '@wisterialadder/core/types/table_row.js';
import type {RowDifference} from './row_difference.js';

/** Lists the effect of changes on a table, column by column. */
export function diffChanges(
  current: readonly VersionedRow[],
  changes: readonly RowChange[],
): RowDifference[] {
  const before = new Map(current.map(({key, row}) => [key, row]));
  return changes.flatMap(({key, row}): RowDifference[] => {
    const old = before.get(key);
    if (row === null) {
      return [{change: 'remove', key, column: '', from: '', to: ''}];
    }
    if (!old) return [{change: 'add', key, column: '', from: '', to: ''}];
    return diffRows(old, row).map(({column, from, to}) => ({
      change: 'change',
      key,
      column,
      from,
      to,
    }));
  });
}

function diffRows(
  old: TableRow,
  row: TableRow,
): {column: string; from: string; to: string}[] {
  return columnsOf(row.type)
    .map(([column, rule]) => ({
      column,
      from: rule.format(Reflect.get(old, column)),
      to: rule.format(Reflect.get(row, column)),
    }))
    .filter(({from, to}) => from !== to);
}
