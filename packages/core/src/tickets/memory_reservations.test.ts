import assert from 'node:assert/strict';
import {test} from 'node:test';
import {NO_HINTS} from '../endpoint_hints/endpoint_hints.js';
import type {GatewayAction} from '../gateway/actions/gateway_action.js';
import type {OrderMemory} from '../gateway/actions/order_memory.js';
import type {GatewayEvent} from '../gateway/events/gateway_event.js';
import {
  attemptFailed,
  readyGateway,
  refusal,
  requestArrived,
  started,
  type GatewayHarness,
} from '../mocks/gateway_harness.js';
import {endpointEntry} from '../mocks/gateway_parts.js';
import {heartbeat, peerReceived} from '../mocks/peer_parts.js';
import type {MemoryAnswer} from './memory_answer.js';

/** Memory held for longer than this after its request is a leak. */
const RELEASE_BOUND_MS = 4_000;
/** Needs more than one engine of 315,000 tokens. */
const LARGE = {promptTokens: 500_000, maxOutputTokens: 1_000};

function fleetOf(engines: number): GatewayHarness {
  const entries = Array.from({length: engines}, (_, i) =>
    endpointEntry({id: `e${i + 1}`}),
  );
  return readyGateway({entries});
}

function orders(
  actions: GatewayAction[],
  order: 'reserve' | 'release',
): OrderMemory[] {
  return actions.filter(
    action => action.kind === 'order_memory' && action.order === order,
  ) as OrderMemory[];
}

function settle(
  gateway: GatewayHarness,
  order: OrderMemory,
  answer: MemoryAnswer = 'done',
): GatewayAction[] {
  const {ticket, endpoint} = order;
  const settled = {ticket, endpoint, answer, hints: NO_HINTS};
  return gateway.step({kind: 'memory_settled', ...settled}, 5);
}

/** Starts a large request with memory reserved on all its engines. */
function startedLarge(gateway: GatewayHarness): OrderMemory[] {
  const requested = orders(gateway.step(requestArrived(LARGE)), 'reserve');
  const last = requested.map(order => settle(gateway, order)).at(-1) ?? [];
  assert.ok(started(last));
  return requested;
}

test('a prompt larger than one engine starts once all memory is reserved', () => {
  const gateway = fleetOf(4);
  const arrived = gateway.step(requestArrived(LARGE));
  assert.equal(started(arrived), undefined);
  const requested = orders(arrived, 'reserve');
  const answers = requested.map(order => settle(gateway, order));
  const attempt = started(answers.at(-1) ?? []);
  assert.equal(answers.filter(actions => started(actions)).length, 1);
  assert.deepEqual(
    attempt?.helpers.map(({ticket}) => ticket),
    requested.map(({ticket}) => ticket),
  );
  const stored = requested.reduce((sum, {tokens}) => sum + tokens, 0);
  assert.ok(stored >= LARGE.promptTokens - 315_000);
});

test('a refusal releases the reservation and tries other engines', () => {
  const gateway = fleetOf(6);
  const requested = orders(gateway.step(requestArrived(LARGE)), 'reserve');
  settle(gateway, requested[0]!);
  const actions = settle(gateway, requested[1]!, 'refused');
  assert.deepEqual(
    orders(actions, 'release').map(({endpoint}) => endpoint),
    requested.map(({endpoint}) => endpoint),
  );
  const again = orders(actions, 'reserve').map(({endpoint}) => endpoint);
  assert.ok(again.length > 0 && !again.includes(requested[1]!.endpoint));
});

test('a request that gets no memory anywhere is refused as not run', () => {
  const gateway = fleetOf(8);
  let actions = gateway.step(requestArrived(LARGE));
  for (let round = 0; round < 8 && !refusal(actions); round++) {
    const [first] = orders(actions, 'reserve');
    assert.ok(first);
    actions = settle(gateway, first, 'refused');
  }
  assert.equal(refusal(actions), 'overloaded');
});

test('a reservation is renewed while the request runs', () => {
  const gateway = fleetOf(4);
  const requested = startedLarge(gateway);
  let expiresMs = gateway.nowMs() + requested[0]!.holdMs;
  for (let i = 0; i < 40; i++) {
    gateway.step({
      kind: 'piece_received',
      reqId: 'r1',
      attempt: 1,
      piece: i + 1,
      payload: new Uint8Array(),
    });
    const actions = gateway.step({kind: 'tick'}, 100);
    assert.ok(gateway.nowMs() < expiresMs);
    const renewals = orders(actions, 'reserve');
    if (renewals.length > 0) expiresMs = gateway.nowMs() + requested[0]!.holdMs;
  }
});

// Refused connections are answered at once, so a dead engine was sent hundreds
// of orders in a second.
test('an order to an unreachable engine is retried after an interval', () => {
  const gateway = fleetOf(4);
  const [first] = startedLarge(gateway);
  assert.ok(first);
  assert.deepEqual(orders(settle(gateway, first, 'unknown'), 'reserve'), []);
  const later = orders(gateway.step({kind: 'tick'}, 600), 'reserve');
  assert.ok(later.some(({endpoint}) => endpoint === first.endpoint));
});

for (const [how, end] of [
  ['ends', {kind: 'stream_ended', reqId: 'r1', attempt: 1, delimited: true}],
  ['fails', attemptFailed('broken')],
  ['is left by its caller', {kind: 'caller_left', reqId: 'r1'}],
] as const) {
  test(`memory is released when the request ${how}`, () => {
    const gateway = fleetOf(4);
    const requested = startedLarge(gateway);
    const released = orders(gateway.step(end), 'release');
    const ticket = requested[0]!.ticket;
    assert.equal(
      released.filter(order => order.ticket === ticket).length,
      requested.length,
    );
  });
}

test('memory of a gateway that dies is released within the bound', () => {
  const gateway = fleetOf(4);
  const requested = startedLarge(gateway);
  assert.ok(requested.every(({holdMs}) => holdMs < RELEASE_BOUND_MS));
});

test('every attempt has its own ticket, so that none is used twice', () => {
  const gateway = fleetOf(8);
  const first = startedLarge(gateway);
  const second = orders(gateway.step(attemptFailed('broken')), 'reserve');
  assert.ok(second.length > 0);
  assert.notEqual(second[0]!.ticket, first[0]!.ticket);
});

test('an answer for a released reservation is ignored', () => {
  const gateway = fleetOf(4);
  const requested = orders(gateway.step(requestArrived(LARGE)), 'reserve');
  gateway.step({kind: 'caller_left', reqId: 'r1'});
  const answers = requested.flatMap(order => settle(gateway, order));
  assert.equal(started(answers), undefined);
});

const PEERS = ['10.0.0.8:7000', '10.0.0.9:7000'];
const PAUSE_MS = 5_000;

/** A gateway with a large request, one of whose engines asks for a pause. */
function withPausedEngine(peers = PEERS) {
  const gateway = fleetOf(4);
  for (const peer of peers) gateway.step(peerReceived(peer, heartbeat()));
  const [first, ...others] = startedLarge(gateway);
  assert.ok(first);
  const {ticket, endpoint} = first;
  const hints = {...NO_HINTS, pauseMs: PAUSE_MS};
  const settled = {ticket, endpoint, answer: 'unknown', hints} as const;
  gateway.step({kind: 'memory_settled', ...settled}, 5);
  return {gateway, ticket, endpoint, others};
}

function renewalsBy(actions: GatewayAction[]): string[] {
  return actions.flatMap(action =>
    action.kind === 'send_peers' && action.message.kind === 'memory_renewal'
      ? action.to
      : [],
  );
}

/** Actions of the ticks until a time has passed, with living peers. */
function ticks(
  gateway: GatewayHarness,
  forMs: number,
  confirm?: GatewayEvent,
): GatewayAction[] {
  const all: GatewayAction[] = [];
  for (let ranMs = 0; ranMs < forMs; ranMs += 25) {
    for (const peer of PEERS) gateway.step(peerReceived(peer, heartbeat()));
    const actions = gateway.step({kind: 'tick'}, 25);
    all.push(...actions);
    if (confirm && renewalsBy(actions).length > 0) gateway.step(confirm, 10);
  }
  return all;
}

// A hold that outlasted the pause also outlasted its gateway, by ten seconds.
test('LEAK: memory on a paused engine is renewed by peers, and never held for longer', () => {
  const {gateway, ticket, endpoint, others} = withPausedEngine();
  const renewed = {kind: 'memory_renewed', ticket, endpoint} as const;
  const confirm = peerReceived(PEERS[0]!, renewed);
  const actions = ticks(gateway, PAUSE_MS - 100, confirm);
  const ordered = orders(actions, 'reserve');
  assert.deepEqual(
    ordered.filter(order => order.endpoint === endpoint),
    [],
  );
  assert.ok(ordered.every(({holdMs}) => holdMs < RELEASE_BOUND_MS));
  const asked = renewalsBy(actions);
  assert.ok(asked.length >= 4 && asked.length <= 5, `${asked.length}`);
  for (const other of others) {
    const own = ordered.filter(order => order.endpoint === other.endpoint);
    assert.ok(own.length >= 4);
  }
  const after = orders(ticks(gateway, 1_400), 'reserve');
  assert.ok(after.some(order => order.endpoint === endpoint));
});

test('a renewal that no peer confirms is asked of the next one soon', () => {
  const {gateway} = withPausedEngine();
  const asked = renewalsBy(ticks(gateway, 1_800));
  assert.ok(asked.length >= 3);
  assert.deepEqual(new Set(asked), new Set(PEERS));
});

test('memory on a paused engine lapses if there is no peer', () => {
  const {gateway, endpoint} = withPausedEngine([]);
  for (let i = 0; i < 100; i++) {
    const actions = gateway.step({kind: 'tick'}, 25);
    const sent = orders(actions, 'reserve').map(order => order.endpoint);
    assert.ok(!sent.includes(endpoint));
  }
});

test('no peer is asked for renewals once the request has ended', () => {
  const {gateway} = withPausedEngine();
  gateway.step({kind: 'caller_left', reqId: 'r1'});
  assert.deepEqual(renewalsBy(ticks(gateway, 2_000)), []);
});

/** A peer's request to renew memory on `e1`. */
const RENEWAL = peerReceived(PEERS[0]!, {
  kind: 'memory_renewal',
  ticket: 't1',
  endpoint: 'e1',
  tokens: 9_000,
});

function settledRenewal(answer: MemoryAnswer, pauseMs?: number): GatewayEvent {
  const settled = {ticket: 't1', endpoint: 'e1', answer};
  return {kind: 'memory_settled', ...settled, hints: {...NO_HINTS, pauseMs}};
}

test('a gateway renews the memory of a peer once, and tells it', () => {
  const gateway = fleetOf(2);
  const [order, ...more] = orders(gateway.step(RENEWAL), 'reserve');
  assert.deepEqual(more, []);
  assert.equal(order?.endpoint, 'e1');
  assert.equal(order?.tokens, 9_000);
  assert.ok(order.holdMs < RELEASE_BOUND_MS);
  const told = gateway.step(settledRenewal('done'), 5);
  const messages = told.flatMap(action =>
    action.kind === 'send_peers' ? [[action.to, action.message]] : [],
  );
  const renewed = {kind: 'memory_renewed', ticket: 't1', endpoint: 'e1'};
  assert.deepEqual(messages, [[[PEERS[0]], renewed]]);
  // The peer may have died since.
  assert.deepEqual(orders(ticks(gateway, 4_000), 'reserve'), []);
});

test('a gateway that the engine asked for a pause, too, renews nothing', () => {
  const gateway = fleetOf(2);
  gateway.step(RENEWAL);
  gateway.step(settledRenewal('refused', PAUSE_MS), 5);
  assert.deepEqual(orders(gateway.step(RENEWAL, 100), 'reserve'), []);
  assert.equal(orders(gateway.step(RENEWAL, PAUSE_MS), 'reserve').length, 1);
});

test('memory on an engine that is not registered is not renewed', () => {
  const gateway = readyGateway({entries: [endpointEntry({id: 'e7'})]});
  assert.deepEqual(orders(gateway.step(RENEWAL), 'reserve'), []);
});
