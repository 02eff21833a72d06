import assert from 'node:assert/strict';
import {test} from 'node:test';
import {classRow, customerRow, endpointRow} from '../mocks/rows.js';
import {
  requestArrived,
  routerConfig,
  tableRead,
} from '../mocks/router_events.js';
import {createStepHarness, type StepHarness} from '../mocks/step_harness.js';
import type {Outcome} from '../types/outcome.js';
import type {RouterAction} from './actions/router_action.js';
import type {StartAttempt} from './actions/start_attempt.js';
import type {RouterEvent} from './events/router_event.js';
import {createRouterNode} from './router_node.js';

type Harness = StepHarness<RouterEvent, RouterAction>;

function readyRouter(): Harness {
  const harness = createStepHarness(createRouterNode(routerConfig()));
  harness.step(
    tableRead([
      classRow(),
      customerRow(),
      endpointRow(),
      endpointRow({name: 'engine-2'}),
    ]),
  );
  return harness;
}

function started(actions: RouterAction[]): StartAttempt | undefined {
  return actions.find(action => action.kind === 'start_attempt');
}

function outcome(actions: RouterAction[]): Outcome | undefined {
  return actions.find(action => action.kind === 'finish')?.outcome;
}

function delta(attempt: number, sequence: number): RouterEvent {
  const payload = `part ${sequence}`;
  return {kind: 'attempt_delta', reqId: 'req-1', attempt, sequence, payload};
}

test('a whole answer completes, guarding against a lost end marker', () => {
  const router = readyRouter();
  assert.equal(started(router.step(requestArrived()))?.attempt, 1);
  router.step(delta(1, 0));
  const actions = router.step({
    kind: 'attempt_ended',
    reqId: 'req-1',
    attempt: 1,
    sequence: 1,
  });
  assert.equal(outcome(actions)?.kind, 'completed');
});

test('a broken stream resumes elsewhere without gap or repeat', () => {
  const router = readyRouter();
  const first = started(router.step(requestArrived()));
  router.step(delta(1, 0));
  router.step({
    kind: 'attempt_failed',
    reqId: 'req-1',
    attempt: 1,
    failure: 'broken',
    leaving: false,
  });
  const retry = started(router.step({kind: 'tick'}, 100));
  assert.equal(retry?.attempt, 2);
  assert.equal(retry?.resumeFrom, 1);
  assert.notEqual(retry?.endpoint, first?.endpoint);
  const late = router.step(delta(1, 1));
  assert.ok(!late.some(action => action.kind === 'deliver'));
});

test('a router resumed after the deadline ends overdue work first', () => {
  const router = readyRouter();
  router.step(requestArrived());
  const actions = router.step(delta(1, 0), 60_000);
  assert.equal(outcome(actions)?.kind, 'timed_out');
  assert.ok(!actions.some(action => action.kind === 'deliver'));
});

test('a draining router refuses new requests and exits when idle', () => {
  const router = readyRouter();
  router.step(requestArrived());
  router.step({kind: 'stop_requested'});
  const refused = router.step(requestArrived({reqId: 'req-2'}), 600);
  assert.equal(outcome(refused)?.kind, 'rejected_not_run');
  assert.ok(!refused.some(action => action.kind === 'exit'));
  const last = router.step({
    kind: 'attempt_ended',
    reqId: 'req-1',
    attempt: 1,
    sequence: 0,
  });
  assert.ok(last.some(action => action.kind === 'exit' && action.code === 0));
});

test('a request over the limit is refused until one has ended', () => {
  const router = createStepHarness(createRouterNode(routerConfig()));
  const rows = [classRow(), customerRow({maxConcurrent: 1}), endpointRow()];
  router.step(tableRead(rows));
  router.step(requestArrived());
  const second = requestArrived({reqId: 'req-2'});
  const refused = outcome(router.step(second));
  assert.equal(refused?.kind, 'rejected_not_run');
  assert.equal(refused?.code, 'limit_concurrency');
  router.step({kind: 'request_cancelled', reqId: 'req-1'});
  assert.equal(started(router.step(second))?.reqId, 'req-2');
});
