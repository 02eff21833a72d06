import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  recordedContext,
  type RecordedContext,
} from '../mocks/router_context.js';
import {routerConfig} from '../mocks/router_events.js';
import {uuidV7} from '../mocks/uuid_v7.js';
import type {ClaimEntry} from './claim_entry.js';
import {partitionStream} from './claim_key.js';
import {
  createPartitionRecorder,
  type PartitionRecorder,
} from './partition_recorder.js';

const STREAM = partitionStream(0);

function claimEntry(n: number): ClaimEntry {
  return {
    type: 'claim',
    claimId: `127.0.0.1:7002#1-${n}`,
    key: `clerks/${uuidV7(1.7e12, n)}`,
    owner: '127.0.0.1:7002',
    incarnation: 1,
    timeoutMs: 2_000,
  };
}

/** Submits one claim and returns the context with the step's actions. */
function submitAt(
  recorder: PartitionRecorder,
  nowMs: number,
  n: number,
): RecordedContext {
  const ctx = recordedContext(nowMs);
  recorder.expire(ctx);
  recorder.submit(ctx, claimEntry(n), '127.0.0.1:7002');
  recorder.flush(ctx);
  return ctx;
}

function appended({actions}: RecordedContext): string[] {
  return actions.filter(a => a.kind === 'append').map(a => a.data);
}

test('a burst causes one append per 100 ms, the first without delay', () => {
  const recorder = createPartitionRecorder(routerConfig(), 0, () => undefined);
  assert.equal(appended(submitAt(recorder, 1_000, 0)).length, 1);
  assert.equal(appended(submitAt(recorder, 1_040, 1)).length, 0);
  assert.equal(appended(submitAt(recorder, 1_099, 2)).length, 0);
  const [batch, ...rest] = appended(submitAt(recorder, 1_100, 3));
  assert.equal(rest.length, 0);
  assert.equal(JSON.parse(batch!).entries.length, 3);
});

test('the tail of a partition stops once the partition is idle', () => {
  const recorder = createPartitionRecorder(routerConfig(), 0, () => undefined);
  const first = submitAt(recorder, 1_000, 0);
  assert.deepEqual(tails(first), [`tail ${STREAM} 0`]);
  const read = recordedContext(1_020);
  recorder.logRead(read, {
    kind: 'log_read',
    stream: STREAM,
    from: 0,
    earliest: 0,
    end: 1,
    records: [{offset: 0, data: appended(first)[0]!}],
  });
  const busy = recordedContext(30_000);
  recorder.expire(busy);
  assert.deepEqual(tails(busy), []);
  const idle = recordedContext(31_001);
  recorder.expire(idle);
  assert.deepEqual(tails(idle), [`stop_tail ${STREAM}`]);
  const again = submitAt(recorder, 60_000, 1);
  assert.deepEqual(tails(again), [`tail ${STREAM} 1`]);
});

function tails({actions}: RecordedContext): string[] {
  return actions.flatMap(action => {
    if (action.kind === 'tail') return [`tail ${action.stream} ${action.from}`];
    return action.kind === 'stop_tail' ? [`stop_tail ${action.stream}`] : [];
  });
}
