import type {RowChange} from '../table/row_change.js';
import type {VersionedRow} from '../table/versioned_row.js';
import {Err, Ok, type Result} from '../shared/result.js';
import type {RowKey} from '../types/row_key.js';
import type {TableRow} from '../types/table_row.js';
import {checkOrphans} from './check_orphans.js';
import {checkRowValues} from './check_row_values.js';
import {checkTable} from './check_table.js';
import type {EditFault} from './edit_fault.js';
import {readRow} from './read_row.js';
import type {RowProposal} from './row_proposal.js';
import type {TableFault} from './table_fault.js';
import type {TableRows} from './table_rows.js';

/**
 * Checks a whole edit against the table that it would change. Faults that the
 * table has already are not held against an edit that leaves them as they are.
 */
export function reviewEdit(
  current: readonly VersionedRow[],
  proposals: readonly RowProposal[],
): Result<RowChange[], EditFault[]> {
  const versions = new Map(current.map(row => [row.key, row.version]));
  const places = new Map<RowKey, number>();
  const changes: RowChange[] = [];
  const faults: EditFault[] = [];

  proposals.forEach((proposal, index) => {
    const row = index + 1;
    const key = `${proposal.type}/${proposal.name}` as RowKey;
    const add = (fault: Omit<EditFault, 'row' | 'key'>): void => {
      faults.push({row, key, ...fault});
    };
    const earlier = places.get(key);
    if (earlier !== undefined) {
      const problem = `row ${earlier} of the edit has the same type and name`;
      add({column: 'name', code: 'duplicate', problem});
      return;
    }
    places.set(key, row);
    const base = proposal.base ?? versions.get(key) ?? 0;
    if (proposal.values === null) {
      changes.push({key, base, row: null});
      // With a base given, the row has been removed since: a conflict.
      if (versions.has(key) || base > 0) return;
      add({column: 'name', code: 'unknown_name', problem: 'does not exist'});
      return;
    }
    const read = readRow(proposal);
    if (!read.ok) read.val.forEach(add);
    else {
      checkRowValues(read.val).forEach(add);
      changes.push({key, base, row: read.val});
    }
  });

  // A row that cannot be read would show up again as a missing reference.
  if (faults.length === 0) {
    faults.push(...tableFaults(current, changes, places));
  }
  return faults.length > 0 ? Err(faults) : Ok(changes);
}

function tableFaults(
  current: readonly VersionedRow[],
  changes: RowChange[],
  places: ReadonlyMap<RowKey, number>,
): EditFault[] {
  const before = new Map(current.map(({key, row}) => [key, row]));
  const after = applied(before, changes);
  const known = new Set(checkTable(before).map(identity));
  const found = [
    ...checkTable(after).filter(fault => !known.has(identity(fault))),
    ...checkOrphans(before, after),
  ];
  const faults = found.map(fault => {
    const key = [fault.key, ...fault.causes].find(k => places.has(k));
    return {
      row: (key && places.get(key)) ?? 0,
      key: fault.key,
      column: fault.column,
      code: fault.code,
      problem: fault.problem,
    };
  });
  // A class whose service vanished has no row in the edit; the removed
  // endpoint is reported in its place.
  const placed = faults.filter(fault => fault.row > 0);
  return placed.length > 0 ? placed : faults;
}

function applied(before: TableRows, changes: RowChange[]): TableRows {
  const after = new Map<RowKey, TableRow>(before);
  for (const {key, row} of changes) {
    if (row === null) after.delete(key);
    else after.set(key, row);
  }
  return after;
}

function identity(fault: TableFault): string {
  return `${fault.key} ${fault.column} ${fault.problem}`;
}
