import type {EditVerdict} from '../table/edit_verdict.js';
import type {TableFold} from '../table/table_fold.js';
import type {EditStatus} from './edit_status.js';
import {findConflicts} from './find_conflicts.js';

/** Status of an edit that has been read back from the log. */
export function verdictStatus(
  fold: TableFold,
  verdict: EditVerdict,
): EditStatus {
  const {editId, author, keys, offset, accepted} = verdict;
  return {
    editId,
    state: accepted ? 'accepted' : 'conflict',
    author,
    keys,
    version: accepted ? offset + 1 : 0,
    conflicts: findConflicts(fold, verdict.conflicts, offset),
  };
}
