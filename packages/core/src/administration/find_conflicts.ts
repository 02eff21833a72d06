import type {RowChange} from '../table/row_change.js';
import type {TableFold} from '../table/table_fold.js';
import type {RowKey} from '../types/row_key.js';
import type {EditConflict} from './edit_conflict.js';

/** Returns the rows whose version differs from the base of the edit. */
export function staleKeys(
  fold: TableFold,
  bases: readonly Pick<RowChange, 'key' | 'base'>[],
): RowKey[] {
  return bases
    .filter(({key, base}) => (fold.get(key)?.version ?? 0) !== base)
    .map(({key}) => key);
}

/** Finds the newest accepted edit below an offset for each row. */
export function findConflicts(
  fold: TableFold,
  keys: readonly RowKey[],
  beforeOffset: number,
): EditConflict[] {
  const accepted = fold
    .verdicts()
    .filter(verdict => verdict.accepted && verdict.offset < beforeOffset);
  return keys.map(key => {
    const winner = accepted.findLast(verdict => verdict.keys.includes(key));
    const version = fold.get(key)?.version ?? 0;
    if (!winner) return {key, version, author: '', editId: ''};
    const {author, editId, offset} = winner;
    const removed = version === 0;
    return {key, version: removed ? 0 : offset + 1, author, editId};
  });
}
