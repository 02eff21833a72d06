import assert from 'node:assert/strict';
import {test} from 'node:test';
import {queueEntry} from '../mocks/queue_entry.js';
import {recordedContext} from '../mocks/router_context.js';
import {RoundRobin} from '../routing/round_robin.js';
import {createDecodeTimes} from './decode_times.js';
import {createEarlyRejection, type EarlyRejection} from './early_rejection.js';
import {FairQueue} from './fair_queue.js';
import type {QueueEntry} from './queue_entry.js';

/** Prefill of one token takes a millisecond. */
class OneTokenPerMs extends RoundRobin {
  override bestCaseMs(_service: string, promptTokens: number): number {
    return promptTokens;
  }
}

function setUp(waiting: QueueEntry[] = []): {
  rejection: EarlyRejection;
  queue: FairQueue;
  rejected: string[];
} {
  const queue = new FairQueue(16_384);
  const rejected: string[] = [];
  const decodeTimes = createDecodeTimes();
  decodeTimes.observe('lookup', 500);
  for (const entry of waiting) queue.push(entry);
  const rejection = createEarlyRejection({
    queue,
    strategy: new OneTokenPerMs(),
    decodeTimes,
    maxWaiting: 20,
    reject: (_ctx, reqId) => rejected.push(reqId),
  });
  return {rejection, queue, rejected};
}

/** Serves five requests of 1,000 tokens in 5 s; `left` ones keep waiting. */
function backlog(left: number): ReturnType<typeof setUp> {
  const entries = Array.from({length: left + 5}, (_, i) =>
    queueEntry({reqId: `w-${i}`, deadlineMs: 60_000}),
  );
  const parts = setUp(entries);
  for (const nowMs of [0, 1_000, 2_000, 3_000, 4_000, 5_000]) {
    let starts = nowMs === 0 ? 0 : 1;
    parts.queue.serve(nowMs, () => starts-- > 0);
  }
  return parts;
}

const ARRIVALS: [string, Partial<QueueEntry>, boolean][] = [
  ['in time', {deadlineMs: 15_000}, false],
  ['too late behind its own flow', {deadlineMs: 9_000}, true],
  ['in time by its fair share', {customer: 'b', deadlineMs: 11_000}, false],
  [
    'too late behind a higher priority',
    {customer: 'b', priority: 5, deadlineMs: 10_000},
    true,
  ],
];

for (const [name, over, rejects] of ARRIVALS) {
  test(`a new request ${name} is ${rejects ? 'rejected' : 'accepted'}`, () => {
    const {rejection} = backlog(3);
    const entry = queueEntry({
      arrivedMs: 5_000,
      ...over,
    });
    const retryMs = rejection.checkArrival(recordedContext(5_000), entry);
    assert.equal(retryMs !== undefined, rejects);
  });
}

test('Retry-After grows with the priority number of the class', () => {
  const {rejection} = setUp();
  const advice = [0, 4, 9].map(priority => {
    const entry = queueEntry({priority, deadlineMs: 1_000});
    return rejection.checkStart(recordedContext(0), entry, 5_000) ?? 0;
  });
  assert.ok(advice[0]! >= 5_500 && advice[0]! < advice[1]!);
  assert.ok(advice[1]! < advice[2]! && advice[2]! <= 60_000);
});

test('a nearly full queue rejects low priorities first', () => {
  const waiting = Array.from({length: 15}, (_, i) =>
    queueEntry({reqId: `w-${i}`}),
  );
  const {rejection} = setUp(waiting);
  const retryMs = [0, 9].map(priority => {
    const ctx = recordedContext(0);
    return rejection.checkArrival(ctx, queueEntry({reqId: 'new', priority}));
  });
  assert.equal(retryMs[0], undefined);
  assert.ok(retryMs[1]! >= 1_000);
});

test('a waiting request that cannot finish in time is rejected', () => {
  const {rejection, rejected} = setUp([
    queueEntry({reqId: 'late', deadlineMs: 2_000}),
    queueEntry({reqId: 'in-time', deadlineMs: 9_000}),
  ]);
  rejection.sweep(recordedContext(0));
  assert.deepEqual(rejected, []);
  rejection.sweep(recordedContext(400));
  assert.deepEqual(rejected, ['late']);
});
