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
 * Checks a whole edit against the table that it would change. Faults that are
 * already in the table are ignored if the edit leaves them unchanged.
 */
export function reviewEdit(
  current: readonly VersionedRow[],
  proposals: readonly RowProposal[],
): Result<RowChange[], EditFault[]> {
  const versions = new Map(current.map(row => [row.key, row.version]));
  const rowNumbers = new Map<RowKey, number>();
  const changes: RowChange[] = [];
  const faults: EditFault[] = [];

  proposals.forEach((proposal, index) => {
    const row = index + 1;
    const key = `${proposal.type}/${proposal.name}` as RowKey;
    const addFault = (fault: Omit<EditFault, 'row' | 'key'>): void => {
      faults.push({row, key, ...fault});
    };
    const earlier = rowNumbers.get(key);
    if (earlier !== undefined) {
      const problem = `row ${earlier} of the edit has the same type and name`;
      addFault({column: 'name', code: 'duplicate', problem});
      return;
    }
    rowNumbers.set(key, row);
    const base = proposal.base ?? versions.get(key) ?? 0;
    if (proposal.values === null) {
      changes.push({key, base, row: null});
      // With a base given, the row has been removed since: a conflict.
      if (versions.has(key) || base > 0) return;
      addFault({
        column: 'name',
        code: 'unknown_name',
        problem: 'does not exist',
      });
      return;
    }
    const read = readRow(proposal);
    if (!read.ok) read.val.forEach(addFault);
    else {
      checkRowValues(read.val).forEach(addFault);
      changes.push({key, base, row: read.val});
    }
  });

  // A row that cannot be parsed would be reported again as a missing
  // reference.
  if (faults.length === 0) {
    faults.push(...tableFaults(current, changes, rowNumbers));
  }
  return faults.length > 0 ? Err(faults) : Ok(changes);
}

function tableFaults(
  current: readonly VersionedRow[],
  changes: RowChange[],
  rowNumbers: ReadonlyMap<RowKey, number>,
): EditFault[] {
  const before = new Map(current.map(({key, row}) => [key, row]));
  const after = applyChanges(before, changes);
  const known = new Set(checkTable(before).map(faultIdentity));
  const found = [
    ...checkTable(after).filter(fault => !known.has(faultIdentity(fault))),
    ...checkOrphans(before, after),
  ];
  const faults = found.map(fault => {
    const key = [fault.key, ...fault.causes].find(k => rowNumbers.has(k));
    return {
      row: (key && rowNumbers.get(key)) ?? 0,
      key: fault.key,
      column: fault.column,
      code: fault.code,
      problem: fault.problem,
    };
  });
  // A class that loses its service may have no row in the edit; the removed
  // endpoint is reported instead.
  const inEdit = faults.filter(fault => fault.row > 0);
  return inEdit.length > 0 ? inEdit : faults;
}

function applyChanges(before: TableRows, changes: RowChange[]): TableRows {
  const after = new Map<RowKey, TableRow>(before);
  for (const {key, row} of changes) {
    if (row === null) after.delete(key);
    else after.set(key, row);
  }
  return after;
}

function faultIdentity(fault: TableFault): string {
  return `${fault.key} ${fault.column} ${fault.problem}`;
}
