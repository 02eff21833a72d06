import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {PeerMessage} from '../fleet/messages/peer_message.js';
import type {GatewayAction} from '../gateway/actions/gateway_action.js';
import {
  attemptFailed,
  piece,
  readyGateway,
  registryRead,
  requestArrived,
  started,
  type GatewayHarness,
} from '../mocks/gateway_harness.js';
import {endpointEntry} from '../mocks/gateway_parts.js';
import {heartbeat, peerReceived} from '../mocks/peer_parts.js';
import {NO_HINTS} from '../endpoint_hints/endpoint_hints.js';
import {NO_EVIDENCE} from '../types/attempt_evidence.js';

const HEAD = {kind: 'stream_started', reqId: 'r1', attempt: 1} as const;

/** A gateway with a peer, and the request `r1` on an engine. */
function withRequest(): GatewayHarness {
  const gateway = readyGateway({
    entries: ['e1', 'e2', 'e3'].map(id => endpointEntry({id})),
  });
  gateway.step(peerReceived('10.0.0.2:7000', heartbeat()));
  gateway.step(requestArrived({sharedParts: ['a1', 'b2']}));
  return gateway;
}

/** What peers are told of ended engines: whether the answer had begun. */
function told(actions: GatewayAction[]): boolean[] {
  const messages = actions.flatMap<PeerMessage>(action =>
    action.kind === 'send_peers' ? [action.message] : [],
  );
  return messages.flatMap(message =>
    message.kind === 'crash_news'
      ? message.crashes.map(({begun}) => begun)
      : [],
  );
}

test('an engine that ends after the head of an answer tells most', () => {
  const gateway = withRequest();
  gateway.step(HEAD, 100);
  assert.deepEqual(told(gateway.step(attemptFailed('disconnected'), 50)), [
    true,
  ]);
});

test('the head of an answer that is no stream counts, too', () => {
  const gateway = withRequest();
  const hints = {...NO_HINTS, limit: 'none'} as const;
  const event = {kind: 'hints_received', reqId: 'r1', attempt: 1} as const;
  gateway.step({...event, hints}, 100);
  assert.deepEqual(told(gateway.step(attemptFailed('disconnected'), 50)), [
    true,
  ]);
});

test('an engine that ends before an answer or within its first pieces tells less', () => {
  const unread = withRequest();
  assert.deepEqual(told(unread.step(attemptFailed('disconnected'), 50)), [
    false,
  ]);
  const begun = withRequest();
  begun.step(HEAD, 100);
  begun.step(piece(1), 50);
  assert.deepEqual(told(begun.step(attemptFailed('disconnected'), 50)), [
    false,
  ]);
});

for (const failure of ['connect_failed', 'said_not_run', 'broken'] as const) {
  test(`an attempt that ends as ${failure} tells nothing of its prompt`, () => {
    const gateway = withRequest();
    gateway.step(HEAD, 100);
    assert.deepEqual(told(gateway.step(attemptFailed(failure), 50)), []);
  });
}

test('an engine that leaves tells nothing of its prompts', () => {
  const gateway = withRequest();
  const leaving = ['e1', 'e2', 'e3'].map(id =>
    endpointEntry({id, state: 'leaving', sequence: 2}),
  );
  gateway.step(registryRead(leaving, 20), 50);
  gateway.step(HEAD, 100);
  assert.deepEqual(told(gateway.step(attemptFailed('disconnected'), 50)), []);
});

test('a prompt that an earlier engine has answered in part is no suspect', () => {
  const gateway = withRequest();
  gateway.step(HEAD, 100);
  for (const number of [1, 2, 3]) gateway.step(piece(number), 50);
  const retry = started(gateway.step(attemptFailed('disconnected'), 50));
  assert.equal(retry?.resumeAfter, 3);
  gateway.step({...HEAD, attempt: 2}, 100);
  assert.deepEqual(
    told(gateway.step(attemptFailed('disconnected', 2), 50)),
    [],
  );
});

test('pieces that the caller says it has prove nothing', () => {
  const gateway = withRequest();
  const reqId = 'r2';
  gateway.step(requestArrived({reqId, sharedParts: ['a1'], resumeAfter: 9}));
  const event = {kind: 'attempt_failed', reqId, attempt: 1} as const;
  const failed = {...event, failure: 'disconnected', detail: ''} as const;
  const unknown = {atFault: '', evidence: NO_EVIDENCE};
  assert.deepEqual(told(gateway.step({...failed, ...unknown}, 50)), [false]);
});
