import {endpointReport} from '../../packages/core/dist/mocks/endpoint_report.js';
import {
  requestArrived,
  routerConfig,
  tableRead,
} from '../../packages/core/dist/mocks/router_events.js';
import {classRow, customerRow} from '../../packages/core/dist/mocks/rows.js';
import {createStepHarness} from '../../packages/core/dist/mocks/step_harness.js';
import {createRouterNode} from '../../packages/core/dist/router/router_node.js';
import {endpoints} from './rows.mjs';
import {cpuUs} from './usage.mjs';

/** Creates a router with idle endpoints that have just reported. */
function createRouter(endpointCount) {
  const cfg = routerConfig({
    strategy: 'expected_cost',
    queue: 'fair',
    idleTimeoutMs: 600_000,
  });
  const router = createStepHarness(createRouterNode(cfg));
  const rows = endpoints(endpointCount);
  const long = classRow({timeoutMs: 600_000});
  router.step(tableRead([long, customerRow(), ...rows]));
  for (const {name} of rows) router.step(endpointReport({endpoint: name}));
  return {router, rows};
}

function stepsRow(endpointCount, inFlight) {
  const {router, rows} = createRouter(endpointCount);
  let refused = 0;
  let requestUs = 0;
  const begin = reqId => {
    const actions = router.step(requestArrived({reqId}), 1);
    const start = actions.find(action => action.kind === 'start_attempt');
    if (!start) refused += 1;
    const {attempt = 1, endpoint = ''} = start ?? {};
    const delta = {kind: 'attempt_delta', reqId, attempt, sequence: 0};
    router.step({...delta, payload: 'part'});
    return {reqId, attempt, endpoint};
  };
  // A report resets the work counted as sent, so the engine takes more.
  const report = ({endpoint}) => router.step(endpointReport({endpoint}));
  for (let i = 0; i < inFlight; i++) report(begin(`held-${i}`));
  const rounds = 1_000;
  for (let i = 0; i < rounds; i++) {
    let begun;
    requestUs += cpuUs(() => {
      begun = begin(`req-${i}`);
      const {reqId, attempt} = begun;
      const end = {kind: 'attempt_ended', reqId, attempt, sequence: 1};
      const actions = router.step(end);
      if (!actions.some(action => action.kind === 'finish')) refused += 1;
    });
    report(begun);
  }
  const reports = Math.min(2_000, rows.length * 20);
  const reportUs = cpuUs(() => {
    for (let i = 0; i < reports; i++) {
      router.step(endpointReport({endpoint: rows[i % rows.length].name}));
    }
  });
  return {
    endpoints: endpointCount,
    'in flight': inFlight,
    'CPU us per request': Math.round(requestUs / rounds),
    'CPU us per load report': +(reportUs / reports).toFixed(1),
    'not started or finished': refused,
  };
}

/** Measures the CPU time of the steps of a request and of a load report. */
export function measureSteps() {
  for (let i = 0; i < 3; i++) stepsRow(100, 100); // Warms up the JIT compiler.
  const counts = [10, 100, 1_000];
  const sizes = [17, 100, 600];
  console.table(sizes.flatMap(n => counts.map(held => stepsRow(n, held))));
}
