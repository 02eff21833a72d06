import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {GatewayAction} from '../gateway/actions/gateway_action.js';
import type {OrderMemory} from '../gateway/actions/order_memory.js';
import {
  attemptFailed,
  readyGateway,
  refusal,
  requestArrived,
  started,
  type GatewayHarness,
} from '../mocks/gateway_harness.js';
import {endpointEntry} from '../mocks/gateway_parts.js';
import type {MemoryAnswer} from './memory_answer.js';

/** Memory that outlives its request by more than this is a leak. */
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
  return gateway.step({kind: 'memory_settled', ticket, endpoint, answer}, 5);
}

/** Starts a large request whose memory is set aside everywhere. */
function startedLarge(gateway: GatewayHarness): OrderMemory[] {
  const asked = orders(gateway.step(requestArrived(LARGE)), 'reserve');
  const last = asked.map(order => settle(gateway, order)).at(-1) ?? [];
  assert.ok(started(last));
  return asked;
}

test('a prompt over one engine starts once all memory is set aside', () => {
  const gateway = fleetOf(4);
  const arrived = gateway.step(requestArrived(LARGE));
  assert.equal(started(arrived), undefined);
  const asked = orders(arrived, 'reserve');
  const answers = asked.map(order => settle(gateway, order));
  const attempt = started(answers.at(-1) ?? []);
  assert.equal(answers.filter(actions => started(actions)).length, 1);
  assert.deepEqual(
    attempt?.helpers.map(({ticket}) => ticket),
    asked.map(({ticket}) => ticket),
  );
  const stored = asked.reduce((sum, {tokens}) => sum + tokens, 0);
  assert.ok(stored >= LARGE.promptTokens - 315_000);
});

test('a refusal frees what was set aside and tries other engines', () => {
  const gateway = fleetOf(6);
  const asked = orders(gateway.step(requestArrived(LARGE)), 'reserve');
  settle(gateway, asked[0]!);
  const actions = settle(gateway, asked[1]!, 'refused');
  assert.deepEqual(
    orders(actions, 'release').map(({endpoint}) => endpoint),
    asked.map(({endpoint}) => endpoint),
  );
  const again = orders(actions, 'reserve').map(({endpoint}) => endpoint);
  assert.ok(again.length > 0 && !again.includes(asked[1]!.endpoint));
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

test('memory is prolonged while the request runs', () => {
  const gateway = fleetOf(4);
  const asked = startedLarge(gateway);
  let expiresMs = gateway.nowMs() + asked[0]!.holdMs;
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
    const prolonged = orders(actions, 'reserve');
    if (prolonged.length > 0) expiresMs = gateway.nowMs() + asked[0]!.holdMs;
  }
});

// A dead engine was asked hundreds of times in a second, as its refusals of
// connections came at once.
test('an engine that cannot be reached is asked again after a pause', () => {
  const gateway = fleetOf(4);
  const [first] = startedLarge(gateway);
  assert.ok(first);
  assert.deepEqual(orders(settle(gateway, first, 'unknown'), 'reserve'), []);
  const later = orders(gateway.step({kind: 'tick'}, 600), 'reserve');
  assert.ok(later.some(({endpoint}) => endpoint === first.endpoint));
});

for (const [how, end] of [
  ['ends', {kind: 'stream_ended', reqId: 'r1', attempt: 1}],
  ['fails', attemptFailed('broken')],
  ['is left by its caller', {kind: 'caller_left', reqId: 'r1'}],
] as const) {
  test(`memory is freed when the request ${how}`, () => {
    const gateway = fleetOf(4);
    const asked = startedLarge(gateway);
    const released = orders(gateway.step(end), 'release');
    const ticket = asked[0]!.ticket;
    assert.equal(
      released.filter(order => order.ticket === ticket).length,
      asked.length,
    );
  });
}

test('memory of a gateway that dies is free again within the bound', () => {
  const gateway = fleetOf(4);
  const asked = startedLarge(gateway);
  assert.ok(asked.every(({holdMs}) => holdMs < RELEASE_BOUND_MS));
});

test('every attempt has tickets of its own, so that none is used twice', () => {
  const gateway = fleetOf(8);
  const first = startedLarge(gateway);
  const second = orders(gateway.step(attemptFailed('broken')), 'reserve');
  assert.ok(second.length > 0);
  assert.notEqual(second[0]!.ticket, first[0]!.ticket);
});

test('an answer for memory that is no longer wanted is not used', () => {
  const gateway = fleetOf(4);
  const asked = orders(gateway.step(requestArrived(LARGE)), 'reserve');
  gateway.step({kind: 'caller_left', reqId: 'r1'});
  const answers = asked.flatMap(order => settle(gateway, order));
  assert.equal(started(answers), undefined);
});
