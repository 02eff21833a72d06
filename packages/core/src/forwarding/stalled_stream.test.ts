import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  kinds,
  piece,
  readyGateway,
  requestArrived,
  started,
} from '../mocks/gateway_harness.js';
import {configuration, streamRoute} from '../mocks/gateway_parts.js';

test('a stream of which only repetitions arrive goes on at another engine', () => {
  const gateway = readyGateway();
  const first = started(gateway.step(requestArrived()));
  gateway.step(piece(1), 100);
  let next: string | undefined;
  for (let waitedMs = 0; waitedMs < 2_000 && !next; waitedMs += 100) {
    gateway.step(piece(1), 50);
    next = started(gateway.step({kind: 'tick'}, 50))?.endpoint;
  }
  assert.ok(next && next !== first?.endpoint);
});

test('a slow stream that keeps to its longest gap is not cut', () => {
  const routes = [streamRoute({targetGapMs: 1_000})];
  const gateway = readyGateway({configuration: configuration({routes})});
  gateway.step(requestArrived());
  gateway.step(piece(1), 100);
  for (let number = 2; number <= 9; number++) {
    gateway.step({kind: 'tick'}, 500);
    const actions = gateway.step(piece(number), 490);
    assert.deepEqual(kinds(actions, 'cancel_attempt', 'start_attempt'), []);
  }
});

test('a stalled stream that may not be resumed ends at its deadline', () => {
  const routes = [streamRoute({resumable: false})];
  const gateway = readyGateway({configuration: configuration({routes})});
  gateway.step(requestArrived({remainingMs: 4_000}));
  gateway.step(piece(1), 100);
  for (let waitedMs = 100; waitedMs < 3_900; waitedMs += 100) {
    const actions = gateway.step(piece(1), 100);
    assert.deepEqual(kinds(actions, 'break_stream', 'cancel_attempt'), []);
  }
  const last = gateway.step({kind: 'tick'}, 200);
  assert.deepEqual(kinds(last, 'break_stream', 'cancel_attempt'), [
    'cancel_attempt',
    'break_stream',
  ]);
});
