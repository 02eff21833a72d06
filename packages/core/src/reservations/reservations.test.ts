import assert from 'node:assert/strict';
import {test} from 'node:test';
import {endpointReport} from '../mocks/endpoint_report.js';
import {
  reservationAnswer,
  oversizedRequest,
  actionsOfKind,
  threeEngines,
  type Router,
} from '../mocks/reservation_events.js';
import {tableRead} from '../mocks/router_events.js';
import {classRow} from '../mocks/rows.js';
import type {RouterAction} from '../router/actions/router_action.js';
import type {RouterEvent} from '../router/events/router_event.js';

/** Grants `count` reservations in turn; returns the last actions. */
function grant(router: Router, actions: RouterAction[], count: number) {
  let last = actions;
  for (let i = 0; i < count; i++) {
    last = router.step(
      reservationAnswer(actionsOfKind(last, 'reserve')[0]!, true),
    );
  }
  return last;
}

test('a prompt that no set of engines can hold is rejected at once', () => {
  const finish = actionsOfKind(
    threeEngines().step(oversizedRequest('r', 1_300_000)),
    'finish',
  );
  const outcome = finish[0]?.outcome;
  assert.ok(outcome?.kind === 'rejected_not_run');
  assert.equal(outcome.code, 'prompt_too_long');
});

test('engines are reserved in ascending name, one at a time', () => {
  const router = threeEngines();
  const asked: string[] = [];
  let actions = router.step(oversizedRequest());
  for (let asks = actionsOfKind(actions, 'reserve'); asks.length > 0;) {
    assert.equal(asks.length, 1);
    asked.push(asks[0]!.endpoint);
    actions = router.step(reservationAnswer(asks[0]!, true));
    asks = actionsOfKind(actions, 'reserve');
  }
  assert.deepEqual(asked, ['engine-1', 'engine-2', 'engine-3']);
  const [start] = actionsOfKind(actions, 'start_attempt');
  assert.equal(start?.reservations.length, 3);
  const total = start?.reservations.reduce((sum, r) => sum + r.tokens, 0);
  assert.equal(total, 900_100);
});

test('a refusal releases everything and is retried after a backoff', () => {
  const router = threeEngines();
  const held = grant(router, router.step(oversizedRequest()), 2);
  const refused = router.step(
    reservationAnswer(actionsOfKind(held, 'reserve')[0]!, false),
  );
  assert.equal(actionsOfKind(refused, 'release_session').length, 2);
  assert.equal(actionsOfKind(refused, 'start_attempt').length, 0);
  const retry = actionsOfKind(router.step({kind: 'tick'}, 100), 'reserve');
  assert.equal(retry[0]?.endpoint, 'engine-1');
});

const UNAVAILABLE: [string, RouterEvent[]][] = [
  ['leaving', [endpointReport({endpoint: 'engine-1', leaving: true})]],
  [
    'blocked',
    Array.from({length: 3}, () => ({
      kind: 'endpoint_unreachable',
      endpoint: 'engine-1',
    })),
  ],
];

for (const [state, events] of UNAVAILABLE) {
  test(`nothing starts when a reserved engine is ${state}`, () => {
    const router = threeEngines();
    const asks = grant(router, router.step(oversizedRequest()), 2);
    for (const event of events) router.step(event);
    const actions = grant(router, asks, 1);
    assert.equal(actionsOfKind(actions, 'start_attempt').length, 0);
    assert.equal(actionsOfKind(actions, 'release_session').length, 3);
  });
}

test('a failed attempt and the end of the request free the memory', () => {
  const router = threeEngines();
  const started = grant(router, router.step(oversizedRequest()), 3);
  const failed = router.step({
    kind: 'attempt_failed',
    reqId: 'req-1',
    attempt: 1,
    failure: 'said_not_run',
    leaving: false,
  });
  assert.equal(actionsOfKind(failed, 'release_session').length, 3);
  const [start] = actionsOfKind(started, 'start_attempt');
  router.step(endpointReport({endpoint: start!.endpoint}));
  grant(router, router.step({kind: 'tick'}, 100), 3);
  const gone = router.step({kind: 'request_cancelled', reqId: 'req-1'});
  assert.equal(actionsOfKind(gone, 'release_session').length, 3);
});

test('a late grant is released even if the table row was removed', () => {
  const router = threeEngines();
  const [ask] = actionsOfKind(router.step(oversizedRequest()), 'reserve');
  const removed = tableRead([classRow()]);
  router.step({kind: 'request_cancelled', reqId: 'req-1'});
  router.step({...removed, from: 1, end: 2});
  const late = actionsOfKind(
    router.step(reservationAnswer(ask!, true)),
    'release_session',
  );
  assert.equal(late[0]?.url, ask!.url);
});
