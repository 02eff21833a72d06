import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createEngineHarness} from '../mocks/engine_harness.js';

const LOAD = {kind: 'load_model' as const, model: 'menu', version: '2'};

for (const checksFencing of [true, false]) {
  test(`order with a stale fencing token, checked ${checksFencing}`, () => {
    const engine = createEngineHarness({checksFencing});
    const order = {kind: 'set_role' as const, role: 'decode' as const};
    engine.step({kind: 'order_received', callId: 'a', token: 7, order});
    const [answer] = engine
      .step({
        kind: 'order_received',
        callId: 'b',
        token: 6,
        order: LOAD,
      })
      .filter(({kind}) => kind === 'answer');
    assert.ok(answer?.kind === 'answer');
    assert.equal(answer.status, checksFencing ? 409 : 200);
  });
}

test('a failed weight fetch is retried until the model is loaded', () => {
  const engine = createEngineHarness();
  const fetches = () =>
    engine.actions.filter(({kind}) => kind === 'fetch_weights').length;
  engine.step({kind: 'order_received', callId: 'a', token: 1, order: LOAD});
  engine.step({kind: 'order_received', callId: 'b', token: 1, order: LOAD});
  assert.equal(fetches(), 1, 'a repeated order has no effect');
  engine.step({kind: 'weights_settled', model: 'menu@2', ok: false});
  engine.run(1_000);
  assert.equal(fetches(), 2);
  engine.step({kind: 'weights_settled', model: 'menu@2', ok: true});
  engine.run(1_100);
  const {models} = engine.node.report(engine.nowMs());
  assert.deepEqual(models, ['coder@1', 'menu@2']);
});
