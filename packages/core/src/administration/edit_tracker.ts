import type {AppendSettled} from '../router/events/append_settled.js';
import type {EditRecord} from '../table/edit_record.js';
import type {TableFold} from '../table/table_fold.js';
import type {AdminContext} from './admin_context.js';
import type {EditStatus} from './edit_status.js';
import type {EditState} from './edit_state.js';
import type {EditTrackerConfig} from './edit_tracker_config.js';
import type {OpenEdit} from './open_edit.js';
import {verdictStatus} from './verdict_status.js';

/** Statuses of edits that definitely failed, kept for later queries. */
const MAX_FAILED_STATUSES = 256;
const UNKNOWN_OFFSET = -1;

/** Tracks each edit from its append to its verdict. */
export interface EditTracker {
  /** False if too many edits are without a verdict. */
  submit(ctx: AdminContext, record: EditRecord, waiter: string): boolean;
  /** Adds a client that waits for an open edit; retries its append if due. */
  addWaiter(ctx: AdminContext, open: OpenEdit, waiter: string): void;
  openEdit(editId: string): OpenEdit | undefined;
  appendSettled(ctx: AdminContext, event: AppendSettled): void;
  /** Settles the edits that have a verdict in the table. */
  tableAdvanced(ctx: AdminContext): void;
  /** Answers overdue waiters and retries appends that are due. */
  expire(ctx: AdminContext): void;
  status(editId: string): EditStatus | undefined;
}

/** Creates a tracker without open edits. */
export function createEditTracker(
  cfg: EditTrackerConfig,
  fold: TableFold,
): EditTracker {
  const open = new Map<string, OpenEdit>();
  const failed = new Map<string, EditStatus>();

  function submit(
    ctx: AdminContext,
    record: EditRecord,
    waiter: string,
  ): boolean {
    if (open.size >= cfg.maxOpen && !evictOne(ctx)) return false;
    failed.delete(record.editId);
    const edit: OpenEdit = {
      record,
      waiters: [],
      appending: false,
      maybeAppended: false,
      offset: UNKNOWN_OFFSET,
      retryAtMs: 0,
      retryUntilMs: 0,
    };
    open.set(record.editId, edit);
    addWaiter(ctx, edit, waiter);
    return true;
  }

  function addWaiter(ctx: AdminContext, edit: OpenEdit, waiter: string): void {
    edit.waiters.push({waiter, untilMs: ctx.nowMs + cfg.answerWithinMs});
    edit.retryUntilMs = ctx.nowMs + cfg.retryForMs;
    if (!edit.appending && edit.offset === UNKNOWN_OFFSET) append(ctx, edit);
  }

  function append(ctx: AdminContext, edit: OpenEdit): void {
    edit.appending = true;
    ctx.emit({
      kind: 'append',
      appendId: edit.record.editId,
      stream: 'table',
      data: JSON.stringify(edit.record),
    });
  }

  function appendSettled(ctx: AdminContext, event: AppendSettled): void {
    const edit = open.get(event.appendId);
    if (!edit) return;
    edit.appending = false;
    if (event.result === 'appended') edit.offset = event.offset;
    if (event.result === 'not_appended' && !edit.maybeAppended) {
      const status = statusWithoutVerdict(edit, 'not_applied');
      storeFailed(status);
      settle(ctx, edit, status);
      return;
    }
    // A record that was once sent without an answer may still arrive, even if
    // a later append of it is refused.
    edit.maybeAppended = true;
    edit.retryAtMs = ctx.nowMs + cfg.retryEveryMs;
    tableAdvanced(ctx);
  }

  function tableAdvanced(ctx: AdminContext): void {
    for (const edit of [...open.values()]) {
      const verdict = fold.verdict(edit.record.editId);
      if (verdict) settle(ctx, edit, verdictStatus(fold, verdict));
    }
  }

  function settle(ctx: AdminContext, edit: OpenEdit, status: EditStatus): void {
    open.delete(status.editId);
    const {editId, author, state, version} = status;
    const rows = status.keys.length;
    ctx.emit({
      kind: 'observe',
      metric: 'edits_total',
      labels: {state},
      value: 1,
    });
    ctx.emit({
      kind: 'write_log',
      event: 'WL7001',
      fields: {editId, author, state, version, rows},
    });
    for (const {waiter} of edit.waiters) answer(ctx, waiter, status);
  }

  function expire(ctx: AdminContext): void {
    for (const edit of open.values()) {
      answerOverdue(ctx, edit);
      const due =
        !edit.appending &&
        edit.offset === UNKNOWN_OFFSET &&
        ctx.nowMs >= edit.retryAtMs &&
        ctx.nowMs < edit.retryUntilMs;
      if (due) append(ctx, edit);
    }
  }

  function answerOverdue(ctx: AdminContext, edit: OpenEdit): void {
    const overdue = edit.waiters.filter(({untilMs}) => untilMs <= ctx.nowMs);
    if (overdue.length === 0) return;
    edit.waiters = edit.waiters.filter(({untilMs}) => untilMs > ctx.nowMs);
    const {editId, author} = edit.record;
    ctx.emit({kind: 'write_log', event: 'WL7002', fields: {editId, author}});
    for (const {waiter} of overdue) {
      answer(ctx, waiter, statusWithoutVerdict(edit, 'pending'));
    }
  }

  function evictOne(ctx: AdminContext): boolean {
    for (const [editId, edit] of open) {
      if (edit.appending || edit.waiters.length > 0) continue;
      if (ctx.nowMs < edit.retryUntilMs) continue;
      return open.delete(editId);
    }
    return false;
  }

  function storeFailed(status: EditStatus): void {
    failed.set(status.editId, status);
    if (failed.size <= MAX_FAILED_STATUSES) return;
    const oldest = failed.keys().next().value;
    if (oldest !== undefined) failed.delete(oldest);
  }

  function status(editId: string): EditStatus | undefined {
    const verdict = fold.verdict(editId);
    if (verdict) return verdictStatus(fold, verdict);
    const edit = open.get(editId);
    return edit ? statusWithoutVerdict(edit, 'pending') : failed.get(editId);
  }

  return {
    submit,
    addWaiter,
    openEdit: editId => open.get(editId),
    appendSettled,
    tableAdvanced,
    expire,
    status,
  };
}

function answer(ctx: AdminContext, waiter: string, status: EditStatus): void {
  ctx.emit({kind: 'answer_edit', waiter, answer: {kind: 'status', status}});
}

function statusWithoutVerdict(edit: OpenEdit, state: EditState): EditStatus {
  const {editId, author, changes} = edit.record;
  const keys = changes.map(change => change.key);
  return {editId, state, author, keys, version: 0, conflicts: []};
}
