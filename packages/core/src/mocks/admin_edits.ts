import type {AdminAction} from '../administration/admin_action.js';
import type {AdminEvent} from '../administration/admin_event.js';
import {createAdminNode, type AdminNode} from '../administration/admin_node.js';
import type {EditSubmitted} from '../administration/edit_submitted.js';
import type {RowProposal} from '../administration/row_proposal.js';
import type {LogRead} from '../router/events/log_read.js';
import type {VersionedRow} from '../table/versioned_row.js';
import type {LogRecord} from '../types/log_record.js';
import type {ModelRow} from '../types/model_row.js';
import {rowKey} from '../types/row_key.js';
import type {TableRow} from '../types/table_row.js';
import {classRow, customerRow, endpointRow} from './rows.js';
import {createStepHarness, type StepHarness} from './step_harness.js';

/** Key hash in the form that validation requires. */
export const KEY_HASH = 'a'.repeat(64);

/** Model `coder`. */
export function modelRow(over: Partial<ModelRow> = {}): ModelRow {
  return {
    type: 'model',
    name: 'coder',
    version: 'v1',
    adapters: [],
    minReplicas: 1,
    maxReplicas: 4,
    ...over,
  };
}

/** One model, engine, class and customer that validation accepts. */
export function validRows(): TableRow[] {
  return [
    modelRow(),
    endpointRow(),
    classRow(),
    customerRow({keyHashes: [KEY_HASH]}),
  ];
}

/** Rows as a table holds them, all at version 1. */
export function versioned(rows: TableRow[]): VersionedRow[] {
  return rows.map(row => ({key: rowKey(row), version: 1, row}));
}

/** Proposes a row as JSON. */
export function proposal(
  row: TableRow,
  over: Partial<RowProposal> = {},
): RowProposal {
  const {type, name, ...values} = row;
  return {type, name, base: undefined, values, source: 'json', ...over};
}

/** Submits the rows as edit `edit-a` of `ana`. */
export function editSubmitted(
  rows: TableRow[],
  over: Partial<EditSubmitted> = {},
): EditSubmitted {
  return {
    kind: 'edit_submitted',
    waiter: 'w1',
    editId: 'edit-a',
    author: 'ana',
    proposals: rows.map(row => proposal(row)),
    ...over,
  };
}

/** A read of the table stream up to the last record given. */
export function tableTail(records: LogRecord[], from = 0): LogRead {
  const end = records.at(-1)?.offset ?? from - 1;
  return {
    kind: 'log_read',
    stream: 'table',
    from,
    earliest: 0,
    end: end + 1,
    records,
  };
}

/** An admin node that answers "pending" after 1 s and retries every 200 ms. */
export function adminHarness(): {
  node: AdminNode;
  harness: StepHarness<AdminEvent, AdminAction>;
} {
  const node = createAdminNode({
    answerWithinMs: 1_000,
    retryEveryMs: 200,
    retryForMs: 2_000,
    maxOpen: 2,
  });
  return {node, harness: createStepHarness(node)};
}

/** Edit states and refusal reasons in the answers, in order. */
export function answers(actions: AdminAction[]): string[] {
  return actions
    .filter(action => action.kind === 'answer_edit')
    .map(({answer}) =>
      answer.kind === 'status' ? answer.status.state : answer.reason,
    );
}

/** Records that the actions append. */
export function appends(actions: AdminAction[]): string[] {
  return actions
    .filter(action => action.kind === 'append')
    .map(action => action.data);
}
