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
const EVENTS = ['leaving', 'back', 'unreachable', 'request', 'wait'] as const;
const BLOCK_MS = 1_000;

/** State of an engine according to the events that the test has sent. */
interface ExpectedEngine {
  leaving: boolean;
  incarnation: number;
  failures: number;
  blockedUntilMs: number;
}

test('nothing is started on a leaving or blocked endpoint', () => {
  const step = fc.record({
    event: fc.constantFrom(...EVENTS),
    engine: fc.integer({min: 0, max: 2}),
    promptTokens: fc.integer({min: 1_000, max: 1_000_000}),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60}), steps => {
      const cfg = routerConfig({strategy: 'expected_cost', queue: 'fair'});
      const router = createStepHarness(createRouterNode(cfg));
      const rows = NAMES.map(name => endpointRow({name}));
      router.step(tableRead([classRow(), customerRow(), ...rows]));
      const expected: ExpectedEngine[] = NAMES.map(() => ({
        leaving: false,
        incarnation: 0,
        failures: 0,
        blockedUntilMs: 0,
      }));
      steps.forEach(({event, engine, promptTokens}, i) => {
        const state = expected[engine]!;
        const actions = act();
        for (const action of actions) {
          if (action.kind !== 'start_attempt') continue;
          const target = expected[NAMES.indexOf(action.endpoint)]!;
          assert.ok(!target.leaving);
          assert.ok(target.blockedUntilMs <= router.nowMs());
        }

        function act() {
          const endpoint = NAMES[engine]!;
          switch (event) {
            case 'leaving':
            case 'back': {
              state.leaving = event === 'leaving';
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

test('a waiting request starts when an engine has capacity', () => {
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

test('an attempt without output in its expected prefill goes on', () => {
  const cfg = routerConfig({strategy: 'expected_cost', queue: 'fair'});
  const router = createStepHarness(createRouterNode(cfg));
  const cls = classRow({timeoutMs: 120_000});
  router.step(tableRead([cls, customerRow(), endpointRow()]));
  router.step(requestArrived({promptTokens: 200_000}));
  const duringPrefill = router.step({kind: 'tick'}, 15_000);
  assert.ok(!duringPrefill.some(action => action.kind === 'cancel_attempt'));
  const afterTimeout = router.step({kind: 'tick'}, 45_000);
  assert.ok(afterTimeout.some(action => action.kind === 'cancel_attempt'));
});
