import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  attemptFailed,
  kinds,
  readyGateway,
  requestArrived,
  started,
} from '../mocks/gateway_harness.js';
import {endpointEntry} from '../mocks/gateway_parts.js';
import {heartbeat} from '../mocks/peer_parts.js';
import type {GatewayEvent} from '../gateway/events/gateway_event.js';
import type {PeerMessage} from '../fleet/messages/peer_message.js';
import {NO_EVIDENCE} from '../types/attempt_evidence.js';

const TWO_ENGINES = [endpointEntry({id: 'e1'}), endpointEntry({id: 'e2'})];

function fromPeer(message: PeerMessage): GatewayEvent {
  return {
    kind: 'peer_received',
    from: '10.0.0.2:7000',
    incarnation: 1,
    message,
  };
}

function endpointsOf(gateway: ReturnType<typeof readyGateway>, count: number) {
  return Array.from(
    {length: count},
    (_, i) => started(gateway.step(requestArrived({reqId: `q${i}`})))?.endpoint,
  );
}

test('an unreachable endpoint gets one trial request at a time', () => {
  const gateway = readyGateway({entries: TWO_ENGINES});
  const dead = started(gateway.step(requestArrived()))?.endpoint;
  gateway.step(attemptFailed('connect_failed'));
  assert.ok(!endpointsOf(gateway, 5).includes(dead));
  gateway.step({kind: 'tick'}, 450);
  const tried = endpointsOf(gateway, 6).filter(id => id === dead);
  assert.equal(tried.length, 1);
});

test('an endpoint that answers again gets work as before', () => {
  const gateway = readyGateway({entries: [endpointEntry()]});
  gateway.step(requestArrived());
  const retry = started(gateway.step(attemptFailed('connect_failed'), 5));
  assert.equal(retry?.endpoint, 'e1');
  gateway.step(
    {
      kind: 'piece_received',
      reqId: 'r1',
      attempt: 2,
      piece: 1,
      payload: new Uint8Array(),
    },
    100,
  );
  assert.deepEqual(endpointsOf(gateway, 2), ['e1', 'e1']);
});

function brokenAttempt(reqId: string): GatewayEvent {
  const kind = 'attempt_failed';
  const failure = 'broken';
  const empty = {detail: '', atFault: '', evidence: NO_EVIDENCE};
  return {kind, reqId, attempt: 1, failure, ...empty};
}

test('a retried request is not used as a trial of another endpoint', () => {
  const entries = ['e1', 'e2', 'e3'].map(id => endpointEntry({id}));
  const gateway = readyGateway({entries});
  const [first] = endpointsOf(gateway, 1);
  const second = started(gateway.step(brokenAttempt('q0')))?.endpoint;
  gateway.step({...brokenAttempt('q0'), attempt: 2} as GatewayEvent);
  // The only healthy engine has all its slots taken.
  const [healthy] = new Set(endpointsOf(gateway, 12));
  gateway.step({kind: 'tick'}, 500);
  const trial = started(gateway.step(requestArrived({reqId: 't'})));
  assert.ok([first, second].includes(trial?.endpoint));
  const retry = started(gateway.step(brokenAttempt('t')));
  assert.equal(retry?.endpoint, healthy);
});

test('peers are told of an unreachable endpoint and avoid it', () => {
  const gateway = readyGateway({entries: TWO_ENGINES});
  gateway.step(fromPeer(heartbeat()));
  gateway.step(requestArrived());
  const actions = gateway.step(attemptFailed('connect_failed'));
  const peerFailure = actions.find(
    action =>
      action.kind === 'send_peers' && action.message.kind === 'endpoint_doubt',
  );
  assert.ok(peerFailure);

  const other = readyGateway({entries: TWO_ENGINES});
  other.step(fromPeer({kind: 'endpoint_doubt', endpoint: 'e1', pauseMs: 400}));
  assert.deepEqual(endpointsOf(other, 3), ['e2', 'e2', 'e2']);
});

// While 11 engines left and the store was silent, 19 of 60 long prompts failed:
// each gateway had to detect each engine by its own failures.
test('peers are told of a helper that another endpoint found out of reach', () => {
  const gateway = readyGateway({entries: TWO_ENGINES});
  gateway.step(fromPeer(heartbeat()));
  const main = started(gateway.step(requestArrived()))?.endpoint;
  const helper = main === 'e1' ? 'e2' : 'e1';
  const failed = attemptFailed('said_not_run');
  const actions = gateway.step({...failed, atFault: helper} as GatewayEvent);
  const reported = actions.flatMap(action =>
    action.kind === 'send_peers' && action.message.kind === 'endpoint_doubt'
      ? [action.message.endpoint]
      : [],
  );
  assert.deepEqual(reported, [helper]);
});

test('if all endpoints are ejected, one of them is used all the same', () => {
  const gateway = readyGateway({entries: TWO_ENGINES});
  for (const endpoint of ['e1', 'e2']) {
    gateway.step(fromPeer({kind: 'endpoint_doubt', endpoint, pauseMs: 6_000}));
  }
  assert.ok(started(gateway.step(requestArrived())));
});

test('an attempt that never reached its endpoint uses no retry budget', () => {
  const gateway = readyGateway({cfg: {retryExtra: 0, retryRatio: 0}});
  gateway.step(requestArrived());
  const again = gateway.step(attemptFailed('connect_failed'));
  assert.ok(started(again));
  const broken = gateway.step(attemptFailed('broken', 2));
  assert.deepEqual(kinds(broken, 'start_attempt', 'refuse'), ['refuse']);
});
