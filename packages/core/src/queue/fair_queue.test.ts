import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {queueEntry} from '../mocks/queue_entry.js';
import type {Objective} from '../types/objective.js';
import {agedPriority, ageingMs} from './ageing.js';
import {FairQueue} from './fair_queue.js';
import type {QueueEntry} from './queue_entry.js';

const THRESHOLD = 16_384;
const SEED = 4_711;

/** Serves up to `starts` requests and returns their ids. */
function serve(queue: FairQueue, nowMs: number, starts: number): string[] {
  const ids: string[] = [];
  queue.serve(nowMs, entry => {
    if (ids.length === starts) return false;
    ids.push(entry.reqId);
    return true;
  });
  return ids;
}

function queueOf(...entries: QueueEntry[]): FairQueue {
  const queue = new FairQueue(THRESHOLD);
  for (const entry of entries) queue.push(entry);
  return queue;
}

const AGEING: [Objective, number, number][] = [
  ['completion', 0, 8],
  ['completion', 1_500, 0],
  ['first_token', 1_250, 4],
  ['first_token', 2_500, 0],
  ['short_slowdown', 2_500, 3],
  ['short_slowdown', 4_000, 0],
];

for (const [objective, waitedMs, expected] of AGEING) {
  test(`priority 8 with ${objective} after ${waitedMs} ms is ${expected}`, () => {
    const entry = queueEntry({priority: 8, objective});
    assert.equal(agedPriority(entry, waitedMs), expected);
  });
}

test('a blocked long lane does not block short prompts', () => {
  const queue = queueOf(
    queueEntry({reqId: 'long', promptTokens: 100_000}),
    queueEntry({reqId: 'short', arrivedMs: 1}),
  );
  const offered: string[] = [];
  queue.serve(1, entry => {
    offered.push(entry.reqId);
    return entry.reqId === 'short';
  });
  assert.deepEqual(offered.sort(), ['long', 'short']);
  assert.equal(queue.size(), 1);
});

test('a refused lane is offered again only after a pause', () => {
  const queue = queueOf(queueEntry());
  assert.deepEqual(serve(queue, 0, 0), []);
  assert.deepEqual(serve(queue, 4, 1), []);
  assert.deepEqual(serve(queue, 5, 1), ['req-1']);
});

test('a retried request returns to its position and is charged once', () => {
  const early = queueEntry({reqId: 'early'});
  const queue = queueOf(early, queueEntry({reqId: 'late', arrivedMs: 1}));
  assert.deepEqual(serve(queue, 1, 1), ['early']);
  queue.push(early);
  queue.push(queueEntry({reqId: 'other', customer: 'b', arrivedMs: 9}));
  assert.deepEqual(serve(queue, 9, 3), ['other', 'early', 'late']);
});

test('a request rejected while it is offered is not charged', () => {
  const queue = queueOf(
    queueEntry({reqId: 'a1', promptTokens: 9_000}),
    queueEntry({reqId: 'a2'}),
    queueEntry({reqId: 'b1', customer: 'b', promptTokens: 10_000}),
    queueEntry({reqId: 'b2', customer: 'b'}),
  );
  const order: string[] = [];
  queue.serve(0, entry => {
    order.push(entry.reqId);
    if (entry.reqId === 'a1') queue.remove('a1');
    return true;
  });
  assert.deepEqual(order, ['a1', 'a2', 'b1', 'b2']);
});

test('tokens per weight differ by at most one request of each flow', () => {
  const size = fc.integer({min: 1, max: 10_000});
  const flow = fc.record({
    weight: fc.integer({min: 1, max: 8}),
    sizes: fc.array(size, {minLength: 20, maxLength: 40}),
  });
  const flows = fc.array(flow, {minLength: 2, maxLength: 5});
  fc.assert(
    fc.property(flows, list => {
      const queue = new FairQueue(THRESHOLD);
      const left = list.map(({sizes}) => sizes.length);
      const served = list.map(() => 0);
      list.forEach(({weight, sizes}, i) =>
        sizes.forEach((promptTokens, n) =>
          queue.push(
            queueEntry({
              reqId: `${i}-${n}`,
              customer: String(i),
              weight,
              promptTokens,
            }),
          ),
        ),
      );
      const bound = list.map(f => Math.max(...f.sizes) / f.weight);
      queue.serve(0, entry => {
        const i = Number(entry.customer);
        if (left.includes(0)) return false;
        served[i]! += entry.promptTokens / entry.weight;
        left[i]! -= 1;
        list.forEach((_, j) => {
          const gap = Math.abs(served[i]! - served[j]!);
          assert.ok(gap <= bound[i]! + bound[j]! + 1e-6);
        });
        return true;
      });
    }),
    {seed: SEED, numRuns: 200},
  );
});

test('no request starves behind a flood of higher priority', () => {
  const victim = fc.record({
    priority: fc.integer({min: 0, max: 9}),
    weight: fc.integer({min: 1, max: 4}),
    promptTokens: fc.integer({min: 1_000, max: 16_000}),
    flows: fc.integer({min: 1, max: 4}),
  });
  fc.assert(
    fc.property(victim, ({flows, ...over}) => {
      const entry = queueEntry({reqId: 'victim', customer: 'v', ...over});
      const queue = queueOf(entry);
      const flood = 16_000;
      // One start every 20 ms. After ageing, each other flow may catch up by
      // one request and serve one more, in proportion to the weights.
      const others = 8 * flows * (2 + entry.promptTokens / flood);
      const bound = ageingMs(entry) / 20 + others;
      let starts = 0;
      for (let nowMs = 0, n = 0; ; nowMs += 20) {
        for (let f = 0; f < flows; f++, n++) {
          queue.push(
            queueEntry({
              reqId: `flood-${n}`,
              customer: `flood-${f}`,
              promptTokens: flood,
              weight: 8,
              arrivedMs: nowMs,
              deadlineMs: nowMs + 10_000,
            }),
          );
        }
        const [id] = serve(queue, nowMs, 1);
        if (id === 'victim') return;
        starts += 1;
        assert.ok(starts <= bound, `${starts} starts before the victim`);
      }
    }),
    {seed: SEED, numRuns: 60},
  );
});
