import {Buffer} from 'node:buffer';
import {createSharedLimits} from '../../packages/core/dist/limits/shared_limits.js';
import {createTestRandom} from '../../packages/core/dist/mocks/step_harness.js';
import {runFeatures} from '../../packages/core/dist/shared/run_features.js';
import {customers} from './rows.mjs';
import {heapOf, cpuUs} from './usage.mjs';

const SEED = 1;

/** Measures shared limits of `nodes` routers with `perSecond` requests each. */
function limitsRow(nodes, customerCount, perSecond, seconds = 10) {
  const random = createTestRandom(SEED);
  const limits = {
    requestsPerSecond: 1_000,
    tokensPerSecond: 1e7,
    maxConcurrent: 10_000,
  };
  const rows = customers(customerCount, limits);
  const byName = new Map(rows.map(row => [row.name, row]));
  const addresses = Array.from({length: nodes}, (_, i) => `10.0.0.${i}:7001`);
  const counts = {sent: 0, bytes: 0, steps: 0, cpuUs: 0};
  let queuedMessages = [];
  let nowMs = 1_000;
  const ctxOf = emit => ({nowMs, wallMs: 1.7e12 + nowMs, random, emit});
  const routers = addresses.map(self => {
    const shared = createSharedLimits({
      members: {self, alive: () => addresses, incarnation: () => 1},
      incarnation: 1,
      fleetSize: nodes,
      customer: name => byName.get(name),
    });
    return {self, shared, node: runFeatures([shared])};
  });
  const byAddress = new Map(routers.map(r => [r.self, r]));
  const send = from => action => {
    if (action.kind !== 'send_peer') return;
    counts.sent += 1;
    counts.bytes += Buffer.byteLength(JSON.stringify(action.message));
    queuedMessages.push({to: action.to, from, message: action.message});
  };
  function step(router, event) {
    const actions = router.node.step({event, ...ctxOf(() => undefined)});
    counts.steps += 1;
    return actions;
  }
  function advance(untilMs) {
    for (; nowMs < untilMs; nowMs += 50) {
      const due = queuedMessages;
      queuedMessages = [];
      const emitted = [];
      counts.cpuUs += cpuUs(() => {
        for (const {to, from, message} of due) {
          const event = {kind: 'peer_received', from, fromIncarnation: 1};
          const router = byAddress.get(to);
          emitted.push([to, step(router, {...event, message})]);
        }
        for (const router of routers) {
          emitted.push([router.self, step(router, {kind: 'tick'})]);
          if (random() * 20 >= perSecond) continue;
          const customer = rows[Math.floor(random() * rows.length)];
          const actions = [];
          const ctx = ctxOf(action => actions.push(action));
          const admitted = router.shared.admit(ctx, customer, 4_000).ok;
          if (admitted) router.shared.release(ctx, customer.name);
          emitted.push([router.self, actions]);
        }
      });
      for (const [from, actions] of emitted) actions.forEach(send(from));
    }
  }
  const {bytes} = heapOf(() => advance(nowMs + 10_000));
  Object.assign(counts, {sent: 0, bytes: 0, steps: 0, cpuUs: 0});
  advance(nowMs + seconds * 1_000);
  const perNode = 1 / nodes / seconds;
  return {
    routers: nodes,
    customers: customerCount,
    'requests/s per router': perSecond,
    'messages/s per router': +(counts.sent * perNode).toFixed(2),
    'bytes/s per router': Math.round(counts.bytes * perNode),
    'CPU % per router': +((counts.cpuUs * perNode) / 1e4).toFixed(3),
    'heap KB per router': Math.round(bytes / nodes / 1_000),
  };
}

/** Measures demands and shares by number of customers, routers and requests. */
export function measureLimits() {
  const cases = [
    [28, 100, 3],
    [28, 500, 3],
    [28, 2_100, 3],
    [7, 2_100, 3],
    [112, 2_100, 3],
    [410, 2_100, 3],
    [28, 2_100, 10],
    [28, 2_100, 20],
  ];
  console.table(cases.map(([n, c, r]) => limitsRow(n, c, r)));
}
