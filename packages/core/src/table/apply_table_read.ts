import type {LogRead} from '../router/events/log_read.js';
import type {LogRecord} from '../types/log_record.js';
import {parseTableRecord} from './parse_table_record.js';
import type {ReadPosition} from './read_position.js';
import type {SnapshotRecord} from './snapshot_record.js';
import type {TableFold} from './table_fold.js';
import type {TableReadResult} from './table_read_result.js';

interface FoundSnapshot {
  offset: number;
  snapshot: SnapshotRecord;
}

/**
 * Applies a read of the table stream. If the next record has passed out of
 * retention, restores the newest snapshot in the read whose next record the
 * log still has. Reads may be repeated or arrive out of order.
 */
export function applyTableRead(
  fold: TableFold,
  read: LogRead,
): TableReadResult {
  const snapshots = findSnapshots(read);
  const restored =
    read.earliest > fold.next() && restoreNewestUsable(fold, read, snapshots);
  const restoredTo = restored ? fold.next() : undefined;
  const edits: LogRecord[] = [];
  const ignored: TableReadResult['ignored'] = [];
  for (const record of read.records) {
    if (record.offset > fold.next()) break;
    if (record.offset < fold.next()) continue;
    const result = fold.apply(record);
    if (result.ok && result.val) edits.push(record);
    if (!result.ok) ignored.push({offset: record.offset, error: result.val});
  }
  return {
    position: positionAfter(fold.next(), read),
    snapshotOffset: snapshots.at(-1)?.offset,
    restoredTo,
    edits,
    ignored,
  };
}

function findSnapshots(read: LogRead): FoundSnapshot[] {
  const found: FoundSnapshot[] = [];
  for (const {offset, data} of read.records) {
    // Skips edits: they are more frequent and are parsed when applied.
    if (!data.includes('"snapshot"')) continue;
    const parsed = parseTableRecord(data);
    if (!parsed.ok || parsed.val.type !== 'snapshot') continue;
    // A snapshot cannot include records that follow it.
    if (parsed.val.next <= offset) found.push({offset, snapshot: parsed.val});
  }
  return found;
}

function restoreNewestUsable(
  fold: TableFold,
  read: LogRead,
  snapshots: FoundSnapshot[],
): boolean {
  const usable = snapshots.findLast(
    ({snapshot}) => snapshot.next >= read.earliest,
  );
  return usable !== undefined && fold.restore(usable.snapshot);
}

function positionAfter(next: number, read: LogRead): ReadPosition {
  if (next >= read.end) return 'newest';
  const last = read.records.at(-1);
  const followerNext = last
    ? last.offset + 1
    : Math.max(read.from, read.earliest);
  if (followerNext <= next) return 'behind';
  return next >= read.earliest ? 'reread' : 'trimmed';
}
