import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {PlacerAction} from './actions/placer_action.js';
import type {SendOrder} from './actions/send_order.js';
import {chooseEngines} from './choose_engines.js';
import {
  engineReport,
  createLeaseHolderPlacer,
} from './mocks/lease_holder_placer.js';
import {modelRow} from './mocks/model_rows.js';
import {endpointRow} from '../mocks/rows.js';
import {createReplicaCounts} from './replica_counts.js';

function orders(actions: PlacerAction[], kind: string): SendOrder[] {
  return actions
    .filter(action => action.kind === 'send_order')
    .filter(({order}) => order.kind === kind);
}

test('a model is not unloaded before every planned replica is ready', () => {
  const placer = createLeaseHolderPlacer(3);
  const rows = [1, 2, 3].map(n => endpointRow({name: `engine-${n}`}));
  const [first = ''] = chooseEngines('coder', rows, 2);
  const number = Number(first.at(-1));
  const others = [1, 2, 3].filter(n => n !== number);
  const ready = others.map(n => engineReport(n, ['coder@1', 'coder@2']));
  const late = engineReport(number, ['coder@1']);
  const before = placer.run(5_000, [...ready, late]);
  assert.equal(orders(before, 'unload_model').length, 0);
  const done = {...late, models: ['coder@1', 'coder@2']};
  const after = orders(placer.run(2_000, [...ready, done]), 'unload_model');
  // Three copies of the old version, and the copy of the new one that exceeds
  // the planned two replicas.
  assert.equal(after.length, 4);
});

test('loads after a fleet restart stay within the weight store rate', () => {
  const model = modelRow({minReplicas: 40, maxReplicas: 40});
  const placer = createLeaseHolderPlacer(40, model);
  const reports = Array.from({length: 40}, (_, i) => engineReport(i + 1, []));
  const requestCount = (ms: number): number =>
    placer.run(ms, reports).filter(action => action.kind === 'request_weights')
      .length;
  // No load before the first reports, then at most one in each round.
  assert.equal(requestCount(1_500), 0);
  const count = requestCount(10_000);
  assert.ok(count >= 5 && count <= 11, `${count} loads in 10 s`);
});

test('a stopping placer keeps its lease until its orders have ended', () => {
  const placer = createLeaseHolderPlacer(2);
  const reports = [1, 2].map(n => ({
    ...engineReport(n, ['coder@2']),
    role: 'decode' as const,
  }));
  const sent = orders(placer.run(3_000, reports), 'set_role');
  assert.equal(sent.length, 2);
  const released = (): boolean =>
    placer.log
      .read('lease', 0)
      .records.some(({data}) => data.includes('"release"'));
  placer.step({kind: 'stop_requested'});
  placer.run(200, []);
  assert.ok(!released());
  const last = sent.flatMap(({orderId}) =>
    placer.step({kind: 'order_settled', orderId, result: 'accepted'}),
  );
  assert.ok(released());
  assert.ok(last.some(({kind}) => kind === 'exit'));
});

test('a refusal for a stale token ends the lease before it expires', () => {
  const placer = createLeaseHolderPlacer(1);
  const report = {...engineReport(1, ['coder@2']), role: 'decode' as const};
  const [order] = orders(placer.run(3_000, [report]), 'set_role');
  const orderId = order?.orderId ?? '';
  const result = 'stale_token' as const;
  const actions = placer.step({kind: 'order_settled', orderId, result});
  const watch = actions.find(({kind}) => kind === 'watch_endpoints');
  assert.deepEqual(watch, {kind: 'watch_endpoints', endpoints: []});
});

for (const [existing, demand, maxReplicas, expected] of [
  [2, 1.5, 9, 2],
  [2, 1.59, 9, 2],
  [2, 1.7, 9, 3],
  [2, 0.6, 9, 2],
  [2, 0.4, 9, 1],
  // Without a replica no load report would show demand again.
  [1, 0, 9, 1],
  [0, 0, 9, 1],
  [1, 0, 0, 0],
  [2, 9, 3, 3],
] as const) {
  const name = `${existing} replicas, demand ${demand}, max ${maxReplicas}`;
  test(`replicas with hysteresis and bounds: ${name}`, () => {
    const counts = createReplicaCounts(1_000);
    const row = modelRow({minReplicas: 0, maxReplicas});
    const decide = (nowMs: number) =>
      counts.decide(nowMs, row, demand, existing);
    const first = decide(0);
    if (expected < existing && maxReplicas > 0) assert.equal(first, existing);
    assert.equal(decide(1_100), expected);
  });
}
