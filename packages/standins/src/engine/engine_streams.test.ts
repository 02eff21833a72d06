import assert from 'node:assert/strict';
import {test} from 'node:test';
import {answerLength, answerPart} from '../shared/expected_answer.js';
import {chatArrived} from './mocks/chat_arrived.js';
import {createEngineHarness} from './mocks/engine_harness.js';

test('a resumed stream continues without a gap or a repeated part', () => {
  const engine = createEngineHarness();
  const whole = chatArrived('a', 1_000);
  engine.step(whole);
  engine.run(1_000);
  const length = answerLength(whole.promptHash, whole.maxTokens);
  const expected = Array.from({length}, (_, i) => [
    i,
    answerPart(whole.promptHash, i),
  ]);
  assert.deepEqual(engine.parts('a'), expected);
  engine.step({...whole, callId: 'b', resumeFrom: 3});
  engine.run(1_000);
  assert.deepEqual(engine.parts('b'), expected.slice(3));
  assert.ok(engine.ended('a') && engine.ended('b'));
});

for (const usePriorities of [true, false]) {
  test(`short prompt behind a long one, priorities ${usePriorities}`, () => {
    const engine = createEngineHarness({usePriorities});
    engine.step(chatArrived('long', 50_000, {priority: 7}));
    engine.step(chatArrived('short', 1_000, {priority: 1}));
    engine.run(1_000);
    // Fails if the order of streams has no effect on completion times.
    assert.equal(engine.ended('short'), usePriorities);
    engine.run(10_000);
    assert.ok(engine.ended('short') && engine.ended('long'));
  });
}

test('a cached prefix is not prefilled again', () => {
  const engine = createEngineHarness();
  const first = chatArrived('a', 20_000);
  engine.step(first);
  engine.run(5_000);
  engine.step({...first, callId: 'b'});
  engine.run(200);
  assert.ok(engine.parts('b').length > 0);
});

test('requests are refused as not run, with the reason as code', () => {
  const engine = createEngineHarness({maxQueued: 1, maxBatch: 1});
  const codes = () =>
    engine.actions.flatMap(a => (a.kind === 'refuse' ? [a.code] : []));
  engine.step(chatArrived('a', 200_000));
  engine.step(chatArrived('b', 10_000, {model: 'other'}));
  for (const callId of ['c', 'd', 'e']) engine.step(chatArrived(callId, 9_000));
  engine.step({kind: 'control_received', callId: 'x', faults: {leaving: true}});
  engine.step(chatArrived('f', 1_000));
  const expected = ['prompt_too_long', 'model_not_loaded', 'full', 'leaving'];
  assert.deepEqual(codes(), expected);
  engine.run(5_000);
  assert.ok(engine.ended('c') && engine.ended('d'));
});

test('a stream that breaks midway sends no end marker', () => {
  const engine = createEngineHarness();
  const faults = {dieAfterParts: 2};
  engine.step({kind: 'control_received', callId: 'x', faults});
  engine.step(chatArrived('a', 1_000));
  engine.run(1_000);
  assert.equal(engine.parts('a').length, 2);
  assert.ok(!engine.ended('a'));
  assert.equal(engine.node.report(engine.nowMs()).kvUsedTokens, 0);
});
