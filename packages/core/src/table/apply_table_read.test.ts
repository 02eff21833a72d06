import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  additions,
  editAt,
  snapshotAt,
  tableReadOf,
} from '../mocks/table_records.js';
import {classRow} from '../mocks/rows.js';
import type {LogRecord} from '../types/log_record.js';
import {applyTableRead} from './apply_table_read.js';
import type {ReadPosition} from './read_position.js';
import {createTableFold, type TableFold} from './table_fold.js';

function addClass(offset: number, name: string, editId?: string): LogRecord {
  const changes = additions([classRow({name})]);
  return editAt(offset, changes, editId ? {editId} : {});
}

const A0 = addClass(0, 'a');
const B1 = addClass(1, 'b');
const C2 = addClass(2, 'c');
const AFTER_A_B = [A0, B1];
const FUTURE = {...snapshotAt(3, [A0, B1, C2, addClass(3, 'x')]), offset: 2};

interface Case {
  title: string;
  log: LogRecord[];
  rows: string[];
  next: number;
  position: ReadPosition;
}

const CASES: Case[] = [
  {
    title: 'an edit appended twice after a lost answer is applied once',
    log: [addClass(0, 'a', 'e'), addClass(1, 'a', 'e')],
    rows: ['a@1'],
    next: 2,
    position: 'newest',
  },
  {
    title: 'the second of two edits on the same version is rejected whole',
    log: [A0, editAt(1, additions([classRow(), classRow({name: 'a'})]))],
    rows: ['a@1'],
    next: 2,
    position: 'newest',
  },
  {
    title: 'a snapshot raced by an edit keeps the edit',
    log: [B1, C2, snapshotAt(3, AFTER_A_B)],
    rows: ['a@1', 'b@2', 'c@3'],
    next: 4,
    position: 'newest',
  },
  {
    title: 'a reader below the earliest offset starts from a snapshot',
    log: [snapshotAt(2, AFTER_A_B), addClass(3, 'd')],
    rows: ['a@1', 'b@2', 'd@4'],
    next: 4,
    position: 'newest',
  },
  {
    title: 'two snapshots in a row restore the same rows as one',
    log: [snapshotAt(2, AFTER_A_B), snapshotAt(3, AFTER_A_B)],
    rows: ['a@1', 'b@2'],
    next: 4,
    position: 'newest',
  },
  {
    title: 'a snapshot whose next record was trimmed is not used',
    log: [snapshotAt(3, AFTER_A_B), addClass(4, 'd')],
    rows: [],
    next: 0,
    position: 'trimmed',
  },
  {
    title: 'a snapshot that claims records after itself is not used',
    log: [FUTURE, addClass(3, 'd')],
    rows: [],
    next: 0,
    position: 'trimmed',
  },
];

function rowsOf(fold: TableFold): string[] {
  return fold.rows().map(({row, version}) => `${row.name}@${version}`);
}

for (const {title, log, rows, next, position} of CASES) {
  test(title, () => {
    const fold = createTableFold();
    const result = applyTableRead(fold, tableReadOf(log));
    const got = {rows: rowsOf(fold), next: fold.next(), p: result.position};
    assert.deepEqual(got, {rows, next, p: position});
  });
}

test('a repeated or late read reverts no change', () => {
  const fold = createTableFold();
  const early = tableReadOf([A0, B1]);
  const late = tableReadOf([B1, C2], {earliest: 0});
  for (const read of [early, late, early, late]) applyTableRead(fold, read);
  assert.deepEqual(rowsOf(fold), ['a@1', 'b@2', 'c@3']);
});

test('a snapshot found after its next record makes the reader reread', () => {
  const fold = createTableFold();
  applyTableRead(fold, tableReadOf([C2], {end: 4}));
  const snapshot = snapshotAt(3, AFTER_A_B);
  const read = tableReadOf([snapshot], {earliest: 2});
  assert.equal(applyTableRead(fold, read).position, 'reread');
  applyTableRead(fold, tableReadOf([C2, snapshot]));
  assert.deepEqual(rowsOf(fold), ['a@1', 'b@2', 'c@3']);
});

test('a reader past a record that the log still has reads it again', () => {
  const fold = createTableFold();
  const read = tableReadOf([C2], {earliest: 0});
  assert.equal(applyTableRead(fold, read).position, 'reread');
});
