import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  adminHarness,
  answers,
  appends,
  editSubmitted,
  tableTail,
  validRows,
} from '../mocks/admin_edits.js';
import {classRow} from '../mocks/rows.js';
import {additions, editAt} from '../mocks/table_records.js';
import type {AppendSettled} from '../router/events/append_settled.js';
import type {TableRow} from '../types/table_row.js';

function settled(
  result: AppendSettled['result'],
  offset = -1,
  appendId = 'edit-a',
): AppendSettled {
  return {kind: 'append_settled', appendId, result, offset};
}

const VALID = validRows();

/** A log record with the rows, as `edit-a` or another id. */
function onLog(offset: number, editId = 'edit-a', rows: TableRow[] = VALID) {
  const over = {editId, author: editId === 'edit-a' ? 'ana' : 'bob'};
  return editAt(offset, additions(rows), over);
}

function loaded() {
  const parts = adminHarness();
  parts.harness.step(tableTail([]));
  return parts;
}

test('an edit counts as accepted only once it is read back', () => {
  const {harness, node} = loaded();
  assert.equal(appends(harness.step(editSubmitted(VALID))).length, 1);
  assert.deepEqual(answers(harness.step(settled('appended', 0))), []);
  assert.equal(node.editStatus('edit-a')?.state, 'pending');
  const actions = harness.step(tableTail([onLog(0)]));
  assert.deepEqual(answers(actions), ['accepted']);
  assert.equal(node.editStatus('edit-a')?.version, 1);
});

test('a definitely failed append is not applied and may be repeated', () => {
  const {harness, node} = loaded();
  harness.step(editSubmitted(VALID));
  assert.deepEqual(answers(harness.step(settled('not_appended'))), [
    'not_applied',
  ]);
  assert.equal(node.editStatus('edit-a')?.state, 'not_applied');
  assert.equal(appends(harness.step(editSubmitted(VALID))).length, 1);
  harness.step(settled('appended', 0));
  const read = harness.step(tableTail([onLog(0)]));
  assert.deepEqual(answers(read), ['accepted']);
});

test('an edit with a lost answer is settled once the log has its id', () => {
  const {harness} = loaded();
  harness.step(editSubmitted(VALID));
  assert.deepEqual(answers(harness.step(settled('unknown'))), []);
  const read = harness.step(tableTail([onLog(0)]));
  assert.deepEqual(answers(read), ['accepted']);
});

test('a lost append is retried and never reported as "not applied"', () => {
  const {harness, node} = loaded();
  const first = appends(harness.step(editSubmitted(VALID)));
  harness.step(settled('unknown'));
  const again = appends(harness.step({kind: 'tick'}, 200));
  assert.deepEqual(again, first);
  // The first record may still be in flight although this one was refused.
  assert.deepEqual(answers(harness.step(settled('not_appended'))), []);
  assert.deepEqual(answers(harness.step({kind: 'tick'}, 900)), ['pending']);
  assert.equal(node.editStatus('edit-a')?.state, 'pending');
  harness.step(tableTail([onLog(0)]));
  assert.equal(node.editStatus('edit-a')?.state, 'accepted');
});

test('retries end after a while and resume when the edit is sent again', () => {
  const {harness} = loaded();
  harness.step(editSubmitted(VALID));
  harness.step(settled('unknown'));
  assert.deepEqual(appends(harness.step({kind: 'tick'}, 5_000)), []);
  assert.equal(appends(harness.step(editSubmitted(VALID))).length, 1);
});

test('a conflict names the edit that won and its version', () => {
  const {harness, node} = loaded();
  harness.step(editSubmitted(VALID));
  harness.step(settled('appended', 1));
  const records = [onLog(0, 'edit-b', [classRow()]), onLog(1)];
  const read = harness.step(tableTail(records));
  assert.deepEqual(answers(read), ['conflict']);
  assert.deepEqual(node.editStatus('edit-a')?.conflicts, [
    {key: 'class/lookup', version: 1, author: 'bob', editId: 'edit-b'},
  ]);
});

test('an outdated base is answered without an append', () => {
  const {harness} = loaded();
  harness.step(tableTail([onLog(0, 'edit-b')]));
  const edit = editSubmitted(VALID);
  edit.proposals.forEach(row => (row.base = 0));
  const actions = harness.step(edit);
  assert.deepEqual(answers(actions), ['conflict']);
  assert.deepEqual(appends(actions), []);
});

test('an edit sent again is answered with its verdict, not applied twice', () => {
  const {harness} = loaded();
  harness.step(tableTail([onLog(0)]));
  const actions = harness.step(editSubmitted(VALID));
  assert.deepEqual(answers(actions), ['accepted']);
  assert.deepEqual(appends(actions), []);
});

test('an id that names another edit is refused, guarding a lost change', () => {
  const {harness} = loaded();
  harness.step(tableTail([onLog(0)]));
  const actions = harness.step(editSubmitted([classRow()]));
  assert.deepEqual(answers(actions), ['edit_id_reused']);
});

test('edits are refused before the table is read and above the limit', () => {
  const {harness} = adminHarness();
  const early = harness.step(editSubmitted(VALID));
  assert.deepEqual(answers(early), ['table_not_loaded']);
  harness.step(tableTail([]));
  for (const editId of ['a', 'b']) harness.step(editSubmitted(VALID, {editId}));
  const third = harness.step(editSubmitted(VALID, {editId: 'c'}));
  assert.deepEqual(answers(third), ['too_many_edits']);
});
