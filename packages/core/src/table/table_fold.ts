import {Err, Ok, type Result} from '../shared/result.js';
import type {LogRecord} from '../types/log_record.js';
import type {RowKey} from '../types/row_key.js';
import type {TableRow} from '../types/table_row.js';
import type {EditRecord} from './edit_record.js';
import type {EditVerdict} from './edit_verdict.js';
import {parseTableRecord} from './parse_table_record.js';
import type {SnapshotRecord} from './snapshot_record.js';
import type {TableError} from './table_error.js';
import type {VersionedRow} from './versioned_row.js';

/** Verdicts kept to detect an edit that was appended twice. */
const MAX_VERDICTS = 1_024;

/** The table that results from the records of the log in their order. */
export interface TableFold {
  /** Offset of the next record expected. */
  next(): number;
  /**
   * Applies a record; returns a verdict only for an edit that is not a
   * repeat. A record after a gap is not applied.
   */
  apply(record: LogRecord): Result<EditVerdict | undefined, TableError>;
  /** Skips offsets below `offset` that are known to hold no edit. */
  skipTo(offset: number): void;
  /** Replaces the state if the snapshot is newer; returns whether it did. */
  restore(snapshot: SnapshotRecord): boolean;
  snapshot(): SnapshotRecord;
  get(key: RowKey): VersionedRow | undefined;
  rows(): VersionedRow[];
  rowsOf<T extends TableRow['type']>(type: T): Extract<TableRow, {type: T}>[];
  verdict(editId: string): EditVerdict | undefined;
  verdicts(): EditVerdict[];
}

/** Creates an empty table that expects the first record of the stream. */
export function createTableFold(): TableFold {
  let next = 0;
  let rows = new Map<RowKey, VersionedRow>();
  let verdicts = new Map<string, EditVerdict>();

  function apply(
    record: LogRecord,
  ): Result<EditVerdict | undefined, TableError> {
    if (record.offset < next) return Ok(undefined);
    if (record.offset > next) return Err('gap');
    const parsed = parseTableRecord(record.data);
    next = record.offset + 1;
    if (!parsed.ok) return Err(parsed.val);
    if (parsed.val.type === 'snapshot') return Ok(undefined);
    return Ok(applyEdit(parsed.val, record.offset));
  }

  function applyEdit(
    edit: EditRecord,
    offset: number,
  ): EditVerdict | undefined {
    if (verdicts.has(edit.editId)) return undefined;
    const conflicts = edit.changes
      .filter(change => (rows.get(change.key)?.version ?? 0) !== change.base)
      .map(change => change.key);
    const accepted = conflicts.length === 0;
    if (accepted) applyChanges(edit, offset);
    const verdict: EditVerdict = {
      editId: edit.editId,
      author: edit.author,
      wallMs: edit.wallMs,
      offset,
      accepted,
      keys: edit.changes.map(change => change.key),
      conflicts,
    };
    storeVerdict(verdict);
    return verdict;
  }

  function applyChanges(edit: EditRecord, offset: number): void {
    for (const {key, row} of edit.changes) {
      if (row === null) rows.delete(key);
      else rows.set(key, {key, version: offset + 1, row});
    }
  }

  function storeVerdict(verdict: EditVerdict): void {
    verdicts.set(verdict.editId, verdict);
    if (verdicts.size <= MAX_VERDICTS) return;
    const oldest = verdicts.keys().next().value;
    if (oldest !== undefined) verdicts.delete(oldest);
  }

  function restore(snapshot: SnapshotRecord): boolean {
    if (snapshot.next <= next) return false;
    next = snapshot.next;
    rows = new Map(snapshot.rows.map(row => [row.key, row]));
    verdicts = new Map(snapshot.verdicts.map(v => [v.editId, v]));
    return true;
  }

  return {
    next: () => next,
    apply,
    skipTo: offset => {
      next = Math.max(next, offset);
    },
    restore,
    snapshot: () => ({
      type: 'snapshot',
      next,
      rows: [...rows.values()],
      verdicts: [...verdicts.values()],
    }),
    get: key => rows.get(key),
    rows: () => [...rows.values()],
    rowsOf: type =>
      [...rows.values()]
        .map(({row}) => row)
        .filter((row): row is Extract<TableRow, {type: typeof type}> =>
          isOfType(row, type),
        ),
    verdict: editId => verdicts.get(editId),
    verdicts: () => [...verdicts.values()],
  };
}

function isOfType(row: TableRow, type: TableRow['type']): boolean {
  return row.type === type;
}
