import assert from 'node:assert/strict';
import {test} from 'node:test';
import {chatArrived} from './mocks/chat_arrived.js';
import {createEngineHarness} from './mocks/engine_harness.js';

const RESERVATIONS = [
  {
    endpoint: 'engine-2',
    url: 'http://127.0.0.1:9002',
    sessionId: 'i2-r1',
    tokens: 90_000,
  },
];
const RESERVATION_REQUEST = {
  kind: 'reservation_asked' as const,
  callId: 'r',
  reqId: 'req',
  owner: '127.0.0.1:7001#1',
  tokens: 60_000,
  ttlMs: 1_000,
};

function usedTokens(engine: ReturnType<typeof createEngineHarness>): number {
  return engine.node.report(engine.nowMs()).kvUsedTokens;
}

test('a prompt over one engine uses and releases reservations', () => {
  const engine = createEngineHarness();
  engine.step(chatArrived('a', 150_000, {reservations: RESERVATIONS}));
  assert.equal(engine.actions.at(-1)?.kind, 'use_remote');
  engine.step({kind: 'remote_settled', callId: 'a', ok: true});
  engine.run(20_000);
  assert.ok(engine.ended('a'));
  const uses = engine.actions.filter(({kind}) => kind === 'use_remote');
  assert.ok(uses.length > 5, 'the reservations are extended');
  const last = engine.actions.filter(({kind}) => kind === 'release_remote');
  assert.equal(last.length, 1);
});

test('a request with a lost reservation is refused as not run', () => {
  const engine = createEngineHarness();
  engine.step(chatArrived('a', 150_000, {reservations: RESERVATIONS}));
  engine.step({kind: 'remote_settled', callId: 'a', ok: false});
  assert.deepEqual(engine.actions.at(-1), {
    kind: 'refuse',
    callId: 'a',
    code: 'reservation_lost',
  });
  engine.run(20);
  assert.equal(usedTokens(engine), 0);
});

test('a reservation expires after its TTL unless it is used', () => {
  const engine = createEngineHarness();
  engine.step(RESERVATION_REQUEST);
  assert.equal(usedTokens(engine), 60_000);
  engine.step({...RESERVATION_REQUEST, callId: 'second'});
  assert.deepEqual(engine.actions.at(-1), {
    kind: 'refuse',
    callId: 'second',
    code: 'full',
  });
  engine.run(800);
  engine.step({kind: 'reservation_used', callId: 'u', sessionId: 'i1-r1'});
  engine.run(800);
  assert.equal(usedTokens(engine), 60_000);
  engine.run(300);
  assert.equal(usedTokens(engine), 0);
});

test('a prompt with reserved memory overtakes one waiting for memory', () => {
  const engine = createEngineHarness();
  engine.step({...RESERVATION_REQUEST, ttlMs: 600_000});
  engine.step(chatArrived('large', 90_000));
  const [reservation] = RESERVATIONS;
  const reservations = [{...reservation!, tokens: 60_000}];
  engine.step(chatArrived('reserved', 59_000, {reservations}));
  engine.step({kind: 'remote_settled', callId: 'reserved', ok: true});
  engine.run(10_000);
  assert.ok(engine.ended('reserved'));
  assert.ok(!engine.ended('large'));
});
