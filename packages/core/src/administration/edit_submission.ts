import type {EditRecord} from '../table/edit_record.js';
import type {TableFold} from '../table/table_fold.js';
import type {RowKey} from '../types/row_key.js';
import type {AdminContext} from './admin_context.js';
import type {EditAnswer} from './edit_answer.js';
import type {EditRefusal} from './edit_refusal.js';
import type {EditFault} from './edit_fault.js';
import type {EditSubmitted} from './edit_submitted.js';
import type {EditTracker} from './edit_tracker.js';
import {findConflicts, staleKeys} from './find_conflicts.js';
import {reviewEdit} from './review_edit.js';
import {verdictStatus} from './verdict_status.js';

/** Checks a submitted edit and starts to track it. */
export type EditSubmission = (ctx: AdminContext, event: EditSubmitted) => void;

/** Creates the function that checks edits and submits them to a tracker. */
export function createEditSubmission(
  fold: TableFold,
  tracker: EditTracker,
  loaded: () => boolean,
): EditSubmission {
  return (ctx, event) => {
    const {editId, author, waiter, proposals} = event;
    const reply = (answer: EditAnswer): void =>
      ctx.emit({kind: 'answer_edit', waiter, answer});
    const refuse = (reason: EditRefusal, faults: EditFault[] = []): void =>
      reply({kind: 'refused', reason, faults});

    const verdict = fold.verdict(editId);
    const open = tracker.openEdit(editId);
    const knownKeys = verdict?.keys ?? open?.record.changes.map(c => c.key);
    if (knownKeys && !sameKeys(knownKeys, event))
      return refuse('edit_id_reused');
    if (verdict) {
      return reply({kind: 'status', status: verdictStatus(fold, verdict)});
    }
    if (open) return tracker.addWaiter(ctx, open, waiter);
    if (!loaded()) return refuse('table_not_loaded');

    const outdated = outdatedRows(fold, event);
    if (outdated.length > 0) {
      const keys = keysOf(event);
      const conflicts = findConflicts(fold, outdated, fold.next());
      const state = 'conflict';
      const status = {
        editId,
        state,
        author,
        keys,
        version: 0,
        conflicts,
      } as const;
      return reply({kind: 'status', status});
    }
    const changes = reviewEdit(fold.rows(), proposals);
    if (!changes.ok) return refuse('invalid', changes.val);
    const record: EditRecord = {
      type: 'edit',
      editId,
      author,
      wallMs: ctx.wallMs,
      changes: changes.val,
    };
    if (!tracker.submit(ctx, record, waiter)) refuse('too_many_edits');
  };
}

// A base newer than this process has read is checked once the log is read.
function outdatedRows(fold: TableFold, event: EditSubmitted): RowKey[] {
  const bases = event.proposals.flatMap(({type, name, base}) =>
    base === undefined || base > fold.next()
      ? []
      : [{key: `${type}/${name}` as RowKey, base}],
  );
  return staleKeys(fold, bases);
}

function keysOf(event: EditSubmitted): RowKey[] {
  return event.proposals.map(({type, name}) => `${type}/${name}` as RowKey);
}

function sameKeys(keys: readonly RowKey[], event: EditSubmitted): boolean {
  return [...keys].sort().join() === keysOf(event).sort().join();
}
