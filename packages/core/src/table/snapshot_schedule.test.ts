import assert from 'node:assert/strict';
import {test} from 'node:test';
import {recordedContext} from '../mocks/router_context.js';
import {additions, editAt} from '../mocks/table_records.js';
import {classRow} from '../mocks/rows.js';
import {rendezvousOrder} from '../shared/rendezvous.js';
import type {AppendSettled} from '../router/events/append_settled.js';
import {createSnapshotSchedule} from './snapshot_schedule.js';
import {createTableFold} from './table_fold.js';

const RETENTION_MS = 400_000;
const START_MS = 1_000;
/** Half of a quarter of the retention period; the age is unknown at first. */
const FIRST_DUE_MS = START_MS + 50_000;
const MEMBERS = rendezvousOrder('table-snapshot', ['a', 'b', 'c']);

interface Case {
  title: string;
  rank: number;
  edits?: number;
  /** Time at which another member's snapshot is read. */
  otherSnapshotMs?: number;
  settled?: AppendSettled['result'];
  /** Times of the appends before `untilMs`. */
  appends: number[];
  untilMs: number;
}

const CASES: Case[] = [
  {
    title: 'the member with the lowest rank appends first, and once',
    rank: 0,
    settled: 'appended',
    appends: [FIRST_DUE_MS],
    untilMs: FIRST_DUE_MS + 60_000,
  },
  {
    title: 'a member with a higher rank waits for the lower ones',
    rank: 2,
    appends: [FIRST_DUE_MS + 4_000],
    untilMs: FIRST_DUE_MS + 5_000,
  },
  {
    title: 'a snapshot by another member replaces the own one',
    rank: 1,
    otherSnapshotMs: FIRST_DUE_MS + 1_000,
    appends: [],
    untilMs: FIRST_DUE_MS + 40_000,
  },
  {
    title: 'an append with a lost answer is retried',
    rank: 0,
    settled: 'unknown',
    appends: [FIRST_DUE_MS, FIRST_DUE_MS + 5_000],
    untilMs: FIRST_DUE_MS + 6_000,
  },
  {
    title: 'many edits make a snapshot due before its time',
    rank: 0,
    edits: 501,
    settled: 'appended',
    appends: [START_MS],
    untilMs: START_MS + 10_000,
  },
];

function appendTimes(given: Case): number[] {
  const fold = createTableFold();
  for (let i = 0; i < (given.edits ?? 1); i++) {
    fold.apply(editAt(i, additions([classRow({name: `row-${i}`})])));
  }
  const members = {
    self: MEMBERS[given.rank]!,
    alive: () => MEMBERS,
    incarnation: () => 1,
  };
  const schedule = createSnapshotSchedule(members, fold, RETENTION_MS);
  const times: number[] = [];
  for (let nowMs = START_MS; nowMs < given.untilMs; nowMs += 100) {
    const ctx = recordedContext(nowMs);
    if (nowMs === given.otherSnapshotMs)
      schedule.snapshotRead(ctx, fold.next());
    schedule.advance(ctx);
    for (const action of ctx.actions) {
      if (action.kind !== 'append') continue;
      times.push(nowMs);
      const {appendId} = action;
      const result = given.settled ?? 'appended';
      const offset = result === 'appended' ? fold.next() : -1;
      const kind = 'append_settled';
      schedule.appendSettled(ctx, {kind, appendId, result, offset});
    }
  }
  return times;
}

for (const given of CASES) {
  test(given.title, () => {
    assert.deepEqual(appendTimes(given), given.appends);
  });
}
