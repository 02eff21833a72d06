import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {endpointReport} from '../mocks/endpoint_report.js';
import {
  requestArrived,
  routerConfig,
  tableRead,
} from '../mocks/router_events.js';
import {classRow, customerRow, endpointRow} from '../mocks/rows.js';
import {createStepHarness} from '../mocks/step_harness.js';
import {createRouterNode} from './router_node.js';

const NAMES = ['engine-0', 'engine-1', 'engine-2'];
const NEWS = ['leaving', 'back', 'unreachable', 'request', 'wait'] as const;
const BLOCK_MS = 1_000;

/** What the test knows of an engine from the events it has sent. */
interface Known {
  leaving: boolean;
  incarnation: number;
  failures: number;
  blockedUntilMs: number;
}

test('nothing is started on a leaving or blocked endpoint', () => {
  const step = fc.record({
    news: fc.constantFrom(...NEWS),
    engine: fc.integer({min: 0, max: 2}),
    promptTokens: fc.integer({min: 1_000, max: 1_000_000}),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60}), steps => {
      const cfg = routerConfig({strategy: 'expected_cost', queue: 'fair'});
      const router = createStepHarness(createRouterNode(cfg));
      const rows = NAMES.map(name => endpointRow({name}));
      router.step(tableRead([classRow(), customerRow(), ...rows]));
      const known: Known[] = NAMES.map(() => ({
        leaving: false,
        incarnation: 0,
        failures: 0,
        blockedUntilMs: 0,
      }));
      steps.forEach(({news, engine, promptTokens}, i) => {
        const state = known[engine]!;
        const actions = act();
        for (const action of actions) {
          if (action.kind !== 'start_attempt') continue;
          const target = known[NAMES.indexOf(action.endpoint)]!;
          assert.ok(!target.leaving);
          assert.ok(target.blockedUntilMs <= router.nowMs());
        }

        function act() {
          const endpoint = NAMES[engine]!;
          switch (news) {
            case 'leaving':
            case 'back': {
              state.leaving = news === 'leaving';
              if (!state.leaving) state.incarnation += 1;
              const incarnation = `inc-${state.incarnation}`;
              const {leaving} = state;
              return router.step(
                endpointReport({endpoint, incarnation, leaving}),
              );
            }
            case 'unreachable':
              state.failures += 1;
              if (state.failures >= 3) {
                state.blockedUntilMs = router.nowMs() + BLOCK_MS;
              }
              return router.step({kind: 'endpoint_unreachable', endpoint});
            case 'request':
              return router.step(
                requestArrived({reqId: `r-${i}`, promptTokens}),
              );
            case 'wait':
              return router.step({kind: 'tick'}, 400);
          }
        }
      });
    }),
    {seed: 31, numRuns: 200},
  );
});

test('a request that waits for an engine starts when one has room', () => {
  const cfg = routerConfig({strategy: 'expected_cost', queue: 'fair'});
  const router = createStepHarness(createRouterNode(cfg));
  router.step(tableRead([classRow(), customerRow(), endpointRow()]));
  router.step(endpointReport({queuedPrefillTokens: 20_000}));
  const waits = router.step(requestArrived());
  assert.ok(!waits.some(action => action.kind === 'start_attempt'));
  const actions = router.step(endpointReport(), 100);
  const line = actions.find(action => action.kind === 'write_log');
  assert.equal(line?.event, 'WL1001');
  assert.equal(line?.fields.candidates, 1);
  assert.equal(line?.fields.costMs, 50);
  assert.match(String(line?.fields.reason), /lowest expected cost/);
});

test('a prompt that is silent for its expected prefill is no failure', () => {
  const cfg = routerConfig({strategy: 'expected_cost', queue: 'fair'});
  const router = createStepHarness(createRouterNode(cfg));
  const cls = classRow({timeoutMs: 120_000});
  router.step(tableRead([cls, customerRow(), endpointRow()]));
  router.step(requestArrived({promptTokens: 200_000}));
  const quiet = router.step({kind: 'tick'}, 15_000);
  assert.ok(!quiet.some(action => action.kind === 'cancel_attempt'));
  const silent = router.step({kind: 'tick'}, 45_000);
  assert.ok(silent.some(action => action.kind === 'cancel_attempt'));
});
