import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {EngineEvent} from './events/engine_event.js';
import {chatArrived} from './mocks/chat_arrived.js';
import {createEngineHarness} from './mocks/engine_harness.js';

const CALL = fc.integer({min: 0, max: 9}).map(n => `c${n}`);
const TOKENS = fc.constantFrom(300, 2_000, 30_000, 90_000);
const SESSION = fc.tuple(
  fc.constantFrom('s', 'r', 'x'),
  fc.integer({min: 1, max: 9}),
);

function ownerFields(callId: string) {
  return {callId, reqId: 'req', owner: '127.0.0.1:7001#1', ttlMs: 700};
}

const EVENT: fc.Arbitrary<EngineEvent> = fc.oneof(
  fc
    .tuple(CALL, TOKENS, fc.boolean())
    .map(([id, tokens, timed]) =>
      chatArrived(id, tokens, {timeoutMs: timed ? 400 : 0}),
    ),
  CALL.map(callId => ({kind: 'client_gone' as const, callId})),
  SESSION.map(([kind, n]) => ({
    kind: 'session_deleted' as const,
    callId: 'd',
    sessionId: `i1-${kind}${n}`,
  })),
  TOKENS.map(tokens => ({
    kind: 'reservation_asked' as const,
    tokens,
    ...ownerFields('r'),
  })),
  CALL.map(id => ({
    kind: 'export_asked' as const,
    hashes: chatArrived(id, 2_000).prefixHashes,
    ...ownerFields('x'),
  })),
  fc.constantFrom(0, 0.5).map(neverAnswer => ({
    kind: 'control_received' as const,
    callId: 'f',
    faults: {neverAnswer},
  })),
);

test('KV memory stays within capacity and is released at the end', () => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(EVENT, fc.constantFrom(0, 10, 200)), {maxLength: 40}),
      steps => {
        const engine = createEngineHarness({maxStreamMs: 20_000});
        const calls = new Set<string>();
        for (const [event, advanceMs] of steps) {
          // Call ids are unique: each call has its own connection.
          if (event.kind === 'chat_arrived') {
            if (calls.has(event.callId)) continue;
            calls.add(event.callId);
          }
          engine.step(event, advanceMs);
          const report = engine.node.report(engine.nowMs());
          assert.ok(report.kvUsedTokens <= 100_000);
          assert.ok(report.cachedTokens <= 100_000);
        }
        engine.step({kind: 'tick'}, 20_000);
        engine.run(30_000);
        const report = engine.node.report(engine.nowMs());
        assert.equal(report.kvUsedTokens, 0);
        assert.deepEqual(report.sessions, []);
      },
    ),
    {seed: 7, numRuns: 60},
  );
});

test('cache events are delayed, numbered, and read up to a gap', () => {
  const engine = createEngineHarness({cacheEventLoss: 0.2});
  const chat = chatArrived('a', 10_000);
  engine.step(chat);
  engine.run(3_000);
  const seen: string[] = [];
  let after = 0;
  let gaps = 0;
  for (;;) {
    const read = engine.node.cacheEvents(engine.nowMs(), after);
    if (read.lastSequence === after) break;
    if (read.firstSequence > after + 1) gaps += 1;
    const count = read.lastSequence - read.firstSequence + 1;
    assert.equal(read.added.length, count);
    seen.push(...read.added);
    after = read.lastSequence;
  }
  assert.ok(gaps > 0 && seen.length < chat.prefixHashes.length);
  const listing = engine.node.cacheEvents(engine.nowMs(), -1);
  assert.deepEqual(listing.added, chat.prefixHashes);
  assert.equal(listing.lastSequence, chat.prefixHashes.length);
});

test('a load report is delayed by the report lag', () => {
  const engine = createEngineHarness({reportLagMs: 300});
  engine.run(500);
  engine.step(chatArrived('a', 50_000));
  engine.run(200);
  assert.equal(engine.node.report(engine.nowMs()).sessions.length, 0);
  engine.run(200);
  assert.equal(engine.node.report(engine.nowMs()).sessions.length, 1);
});
