import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  attemptFailed,
  callArrived,
  configurationRead,
  kinds,
  piece,
  readyGateway,
  refusal,
  requestArrived,
  started,
} from '../mocks/gateway_harness.js';
import {callRoute, configuration, streamRoute} from '../mocks/gateway_parts.js';

test('a write that may have run is neither retried nor refused as not run', () => {
  const gateway = readyGateway();
  assert.ok(started(gateway.step(callArrived('/write/1'))));
  const actions = gateway.step(attemptFailed('broken'), 20);
  assert.equal(started(actions), undefined);
  assert.equal(refusal(actions), 'broken');
});

test('a request that cannot be sent is refused and no endpoint is blamed', () => {
  const gateway = readyGateway();
  gateway.step(requestArrived());
  const actions = gateway.step(attemptFailed('rejected'));
  assert.equal(refusal(actions), 'bad_request');
  assert.deepEqual(kinds(actions, 'start_attempt', 'send_peers'), []);
  const lines = actions.flatMap(action =>
    action.kind === 'write_log' ? [action.event] : [],
  );
  assert.ok(!lines.includes('WL8201'));
});

test('a write is retried elsewhere if the endpoint said it was not run', () => {
  const gateway = readyGateway();
  const first = started(gateway.step(callArrived('/write/1')));
  const second = started(gateway.step(attemptFailed('said_not_run'), 20));
  assert.ok(first && second);
  assert.notEqual(second.endpoint, first.endpoint);
  assert.ok(second.newConnection);
});

// Guards against an attempt of a request that may run once on a connection that
// breaks, or that still carries an answer to another request.
for (const [what, route, isNew] of [
  ['a write', callRoute(), true],
  ['a stream that may not be resumed', streamRoute({resumable: false}), true],
  ['a stream that may be resumed', streamRoute(), false],
  ['a read', callRoute({kind: 'idempotent'}), false],
] as const) {
  test(`${what} ${isNew ? 'always gets' : 'needs no'} new connection`, () => {
    const known = {configuration: configuration({routes: [route]})};
    const gateway = readyGateway(known);
    const arrived = requestArrived({path: `${route.prefix}1`});
    const first = started(gateway.step(arrived));
    const second = started(gateway.step(attemptFailed('said_not_run'), 20));
    assert.equal(first?.newConnection, isNew);
    assert.equal(second?.newConnection, isNew);
  });
}

// Guards against a second run of a request whose route was declared to run its
// requests once while it was open.
for (const [what, before, after, end] of [
  [
    'call that may no longer be repeated',
    callRoute({kind: 'idempotent', maxAttempts: 2}),
    callRoute({maxAttempts: 2}),
    'refuse',
  ],
  [
    'stream that may no longer be resumed',
    streamRoute(),
    streamRoute({resumable: false}),
    'break_stream',
  ],
] as const) {
  test(`a ${what} is not sent again`, () => {
    const known = {configuration: configuration({routes: [before]})};
    const gateway = readyGateway(known);
    gateway.step(requestArrived({path: `${before.prefix}1`}));
    if (before.kind === 'stream') gateway.step(piece(1), 20);
    const changed = configuration({version: 2, routes: [after]});
    gateway.step(configurationRead(changed, 2));
    const actions = gateway.step(attemptFailed('broken'), 20);
    assert.equal(started(actions), undefined);
    assert.equal(kinds(actions, end).length, 1);
  });
}

test('a write that no endpoint has run is refused as not run', () => {
  const gateway = readyGateway();
  gateway.step(callArrived('/write/1'));
  gateway.step(attemptFailed('connect_failed', 1), 20);
  let actions = gateway.step(attemptFailed('connect_failed', 2), 20);
  for (let attempt = 3; started(actions); attempt++) {
    actions = gateway.step(attemptFailed('connect_failed', attempt), 20);
  }
  assert.equal(refusal(actions), 'overloaded');
});

test('a stream resumes on another engine without loss or duplicates', () => {
  const gateway = readyGateway();
  const first = started(gateway.step(requestArrived()));
  const begun = gateway.step(piece(1), 100);
  assert.deepEqual(kinds(begun, 'begin_stream', 'deliver_piece'), [
    'begin_stream',
    'deliver_piece',
  ]);
  gateway.step(piece(2), 50);
  const second = started(gateway.step(attemptFailed('broken'), 50));
  assert.equal(second?.resumeAfter, 2);
  assert.notEqual(second?.endpoint, first?.endpoint);
  assert.deepEqual(kinds(gateway.step(piece(3, 1)), 'deliver_piece'), []);
  assert.deepEqual(kinds(gateway.step(piece(2, 2)), 'deliver_piece'), []);
  const resumed = gateway.step(piece(3, 2));
  assert.deepEqual(kinds(resumed, 'begin_stream', 'deliver_piece'), [
    'deliver_piece',
  ]);
});

test('a missing piece ends the attempt instead of reaching the caller', () => {
  const gateway = readyGateway();
  gateway.step(requestArrived());
  gateway.step(piece(1), 100);
  const actions = gateway.step(piece(3), 50);
  assert.deepEqual(kinds(actions, 'cancel_attempt', 'deliver_piece'), [
    'cancel_attempt',
  ]);
  assert.equal(started(actions)?.resumeAfter, 1);
});

test('a stream that may not be resumed breaks instead of running twice', () => {
  const routes = [streamRoute({resumable: false})];
  const gateway = readyGateway({configuration: configuration({routes})});
  gateway.step(requestArrived());
  gateway.step(piece(1), 100);
  const actions = gateway.step(attemptFailed('broken'), 50);
  assert.equal(started(actions), undefined);
  assert.deepEqual(kinds(actions, 'break_stream', 'refuse'), ['break_stream']);
});

for (const status of [200, 404, 500]) {
  test(`an answer with status ${status} is no continuation of a stream that has begun`, () => {
    const gateway = readyGateway();
    gateway.step(requestArrived());
    gateway.step(piece(1), 100);
    assert.ok(started(gateway.step(attemptFailed('disconnected'), 50)));
    const event = {kind: 'answer_received', reqId: 'r1', attempt: 2} as const;
    const actions = gateway.step({...event, status}, 50);
    assert.deepEqual(
      kinds(actions, 'deliver_answer', 'break_stream', 'end_stream'),
      ['break_stream'],
    );
  });
}

test('no more endpoints run a request than its route allows', () => {
  const gateway = readyGateway();
  gateway.step(requestArrived());
  assert.ok(started(gateway.step(attemptFailed('broken', 1), 20)));
  const actions = gateway.step(attemptFailed('broken', 2), 20);
  assert.equal(started(actions), undefined);
  assert.equal(refusal(actions), 'broken');
});

test('a read that an endpoint fails is retried once, then passed on', () => {
  const gateway = readyGateway();
  gateway.step(callArrived('/read/1'));
  const answer = (attempt: number) =>
    gateway.step({kind: 'answer_received', reqId: 'r1', attempt, status: 500});
  assert.ok(started(answer(1)));
  assert.deepEqual(kinds(answer(2), 'deliver_answer', 'refuse'), [
    'deliver_answer',
  ]);
});

test('a request has its final answer at its deadline', () => {
  const gateway = readyGateway();
  gateway.step(callArrived('/write/1', {remainingMs: 400}));
  const actions = gateway.step({kind: 'tick'}, 400);
  assert.deepEqual(kinds(actions, 'cancel_attempt'), ['cancel_attempt']);
  assert.equal(refusal(actions), 'timed_out');
});

test('the endpoint gets no more time than is left', () => {
  const gateway = readyGateway();
  const first = started(gateway.step(requestArrived({remainingMs: 7_000})));
  assert.equal(first?.remainingMs, 7_000);
  const second = started(gateway.step(attemptFailed('said_not_run'), 600));
  assert.equal(second?.remainingMs, 6_400);
});

test('a stalled attempt is retried on another engine in time', () => {
  const gateway = readyGateway();
  const first = started(gateway.step(requestArrived()));
  assert.equal(started(gateway.step({kind: 'tick'}, 500)), undefined);
  const second = started(gateway.step({kind: 'tick'}, 1_000));
  assert.notEqual(second?.endpoint, first?.endpoint);
});

test('a caller that leaves cancels its attempt', () => {
  const gateway = readyGateway();
  gateway.step(requestArrived());
  const actions = gateway.step({kind: 'caller_left', reqId: 'r1'});
  assert.deepEqual(kinds(actions, 'cancel_attempt'), ['cancel_attempt']);
  assert.equal(started(gateway.step({kind: 'tick'}, 5_000)), undefined);
});

for (const [what, over, expected] of [
  ['key', {bearerKey: 'k9'}, 'unknown_key'],
  ['route', {path: '/nowhere/1'}, 'unknown_route'],
] as const) {
  test(`an unknown ${what} is refused before any attempt`, () => {
    const actions = readyGateway().step(requestArrived(over));
    assert.equal(refusal(actions), expected);
    assert.equal(started(actions), undefined);
  });
}

test('a draining gateway takes requests during the notice, then refuses', () => {
  const gateway = readyGateway();
  gateway.step({kind: 'stop_requested'});
  assert.ok(started(gateway.step(requestArrived(), 100)));
  const late = requestArrived({reqId: 'r2'});
  assert.equal(refusal(gateway.step(late, 500)), 'draining');
  gateway.step(piece(1), 10);
  const end = {
    kind: 'stream_ended',
    reqId: 'r1',
    attempt: 1,
    delimited: true,
  } as const;
  assert.deepEqual(kinds(gateway.step(end), 'end_stream', 'exit'), [
    'end_stream',
    'exit',
  ]);
});

test('a shutdown aborts what is in flight when the grace period ends', () => {
  const gateway = readyGateway();
  gateway.step(requestArrived());
  gateway.step(piece(1), 100);
  gateway.step({kind: 'stop_requested'});
  const actions = gateway.step({kind: 'tick'}, 5_000);
  assert.deepEqual(kinds(actions, 'break_stream', 'exit'), [
    'break_stream',
    'exit',
  ]);
});
