import type {LogRead} from '../router/events/log_read.js';
import type {TableRecords} from '../router/messages/table_records.js';
import type {TableState} from '../router/messages/table_state.js';
import {applyTableRead} from './apply_table_read.js';
import {isSnapshot} from './parse_table_record.js';
import {createRecentEdits} from './recent_edits.js';
import {createTableFold, type TableFold} from './table_fold.js';
import type {TableReadResult} from './table_read_result.js';

/** The table and its recent edits, which peers may request. */
export interface TableStore {
  readonly fold: TableFold;
  applyRead(read: LogRead): TableReadResult;
  /** Applies a peer's records unless they leave a gap or are not new. */
  applyRecords(message: TableRecords): void;
  /** Restores a peer's snapshot if it is newer. */
  applyState(message: TableState): void;
  /** Returns what a peer that expects `next` is missing. */
  missingFrom(next: number): TableRecords | TableState;
}

/** Creates a store with an empty table. */
export function createTableStore(): TableStore {
  const fold = createTableFold();
  const recentEdits = createRecentEdits();

  function applyRead(read: LogRead): TableReadResult {
    const result = applyTableRead(fold, read);
    if (result.restoredTo !== undefined) recentEdits.reset(result.restoredTo);
    for (const edit of result.edits) recentEdits.add(edit);
    return result;
  }

  function applyRecords({from, to, records}: TableRecords): void {
    if (from > fold.next() || to <= fold.next()) return;
    for (const record of records) {
      if (record.offset < fold.next() || record.offset >= to) continue;
      fold.skipTo(record.offset);
      fold.apply(record);
      recentEdits.add(record);
    }
    fold.skipTo(to);
  }

  function applyState({snapshot}: TableState): void {
    if (!isSnapshot(snapshot) || !fold.restore(snapshot)) return;
    recentEdits.reset(fold.next());
  }

  function missingFrom(next: number): TableRecords | TableState {
    const records = recentEdits.since(next);
    if (!records) return {kind: 'table_state', snapshot: fold.snapshot()};
    return {kind: 'table_records', from: next, to: fold.next(), records};
  }

  return {fold, applyRead, applyRecords, applyState, missingFrom};
}
