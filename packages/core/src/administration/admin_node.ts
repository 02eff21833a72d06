import type {LogRead} from '../router/events/log_read.js';
import {createTableFold, type TableFold} from '../table/table_fold.js';
import type {DecisionNode} from '../types/decision_node.js';
import type {AdminAction} from './admin_action.js';
import type {AdminContext} from './admin_context.js';
import type {AdminEvent} from './admin_event.js';
import type {AdminHandlers} from './admin_handlers.js';
import type {EditStatus} from './edit_status.js';
import {createEditSubmission} from './edit_submission.js';
import {createEditTracker} from './edit_tracker.js';
import type {EditTrackerConfig} from './edit_tracker_config.js';
import type {LogPosition} from './log_position.js';

type AnyHandler = (ctx: AdminContext, event: AdminEvent) => void;

/** Decisions of the administration, and what its front end may read. */
export interface AdminNode extends DecisionNode<AdminEvent, AdminAction> {
  readonly table: Pick<TableFold, 'get' | 'next' | 'rows' | 'verdicts'>;
  position(): LogPosition;
  editStatus(editId: string): EditStatus | undefined;
}

/** Creates an administration node with an empty table. */
export function createAdminNode(cfg: EditTrackerConfig): AdminNode {
  const fold = createTableFold();
  const tracker = createEditTracker(cfg, fold);
  const submit = createEditSubmission(fold, tracker, () => loaded);
  let loaded = false;
  let end = 0;
  let logReachable: boolean | undefined;

  function logRead(ctx: AdminContext, event: LogRead): void {
    for (const record of event.records) {
      const result = fold.apply(record);
      if (result.ok) continue;
      const fields = {offset: record.offset, error: result.val};
      ctx.emit({kind: 'write_log', event: 'WL2003', fields});
    }
    end = event.end;
    logReachable = true;
    observe(ctx);
    tracker.tableAdvanced(ctx);
    // An empty table is complete as well: the first import starts from it.
    if (!loaded && fold.next() >= end) {
      loaded = true;
      ctx.emit({kind: 'set_ready', ready: true, reason: ''});
    }
  }

  function logReadFailed(ctx: AdminContext): void {
    // Reads are retried several times a second; only the change is logged.
    if (logReachable !== false) {
      const fields = {stream: 'table'};
      ctx.emit({kind: 'write_log', event: 'WL2002', fields});
    }
    logReachable = false;
  }

  function observe(ctx: AdminContext): void {
    const next = fold.next();
    const setGauge = (
      metric: 'table_offset' | 'table_lag_records',
      value: number,
    ) => ctx.emit({kind: 'observe', metric, labels: {}, value});
    setGauge('table_offset', next);
    setGauge('table_lag_records', Math.max(0, end - next));
  }

  const handlers: AdminHandlers = {
    append_settled: tracker.appendSettled,
    edit_submitted: submit,
    log_read: logRead,
    log_read_failed: logReadFailed,
    tick: () => undefined,
  };

  return {
    table: fold,
    editStatus: tracker.status,
    position: () => ({
      offset: fold.next(),
      lag: Math.max(0, end - fold.next()),
      logReachable: logReachable === true,
      loaded,
    }),
    step: ({event, nowMs, wallMs, random}) => {
      const actions: AdminAction[] = [];
      const emit = (action: AdminAction): void => void actions.push(action);
      const ctx: AdminContext = {nowMs, wallMs, random, emit};
      tracker.expire(ctx);
      (handlers[event.kind] as AnyHandler)(ctx, event);
      return actions;
    },
  };
}
