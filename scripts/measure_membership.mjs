// Measures control messages between routers on the virtual network and prints
// a table. Needs a build. Usage: node scripts/measure_membership.mjs [SIZE...]
import {Buffer} from 'node:buffer';
import {createTestRandom} from '../packages/core/dist/mocks/step_harness.js';
import {createVirtualFleet} from '../packages/core/dist/mocks/virtual_fleet.js';

const sizes = process.argv.slice(2).map(Number);
const SIZES = sizes.length > 0 ? sizes : [7, 14, 28, 56, 112];
const ENGINES = 24;
const REQUESTS_PER_NODE_PER_S = 3;
const SETTLE_S = 150;
const MEASURE_S = 60;
const SEED = 1;

function nowUs() {
  return Number(process.hrtime.bigint()) / 1_000;
}

function createProbe(size) {
  const counts = {sent: 0, bytes: 0, maxBytes: 0};
  const steps = {peer_received: {n: 0, us: 0}, tick: {n: 0, us: 0}};
  const informedRouters = new Set();
  let created = 0;
  function wrap(node) {
    const id = (created += 1);
    return {
      step: input => {
        const startUs = nowUs();
        const actions = node.step(input);
        const step = steps[input.event.kind];
        if (step) step.n += 1;
        if (step) step.us += nowUs() - startUs;
        if (actions.some(isLeavingLog)) informedRouters.add(id);
        return actions;
      },
    };
  }
  function onSend({message}) {
    const fields = {...message, kind: undefined};
    const bytes = Buffer.byteLength(JSON.stringify(fields));
    counts.sent += 1;
    counts.bytes += bytes;
    counts.maxBytes = Math.max(counts.maxBytes, bytes);
  }
  function reset() {
    Object.assign(counts, {sent: 0, bytes: 0, maxBytes: 0});
    steps.peer_received = {n: 0, us: 0};
    steps.tick = {n: 0, us: 0};
  }
  return {size, counts, steps, informedRouters, wrap, onSend, reset};
}

function isLeavingLog(action) {
  return (
    action.kind === 'write_log' &&
    action.event === 'WL5001' &&
    action.fields.state === 'leaving'
  );
}

// Spreads the load over short intervals to avoid bursts.
function run(fleet, seconds, perSecond, random) {
  const endMs = fleet.clock.nowMs() + seconds * 1_000;
  while (fleet.clock.nowMs() < endMs) {
    for (const router of fleet.routers) {
      if (random() * 10 >= perSecond) continue;
      fleet.request(router);
      if (router.attempts.size > 20) fleet.cancel(router);
    }
    fleet.clock.runTo(fleet.clock.nowMs() + 100);
  }
}

function timeUntil(fleet, condition) {
  const startMs = fleet.clock.nowMs();
  while (!condition() && fleet.clock.nowMs() - startMs < 120_000) {
    fleet.clock.runTo(fleet.clock.nowMs() + 50);
  }
  return (fleet.clock.nowMs() - startMs) / 1_000;
}

function measure(size, perSecond) {
  const probe = createProbe(size);
  const random = createTestRandom(SEED);
  const fleet = createVirtualFleet({
    seed: SEED,
    routers: size,
    engines: ENGINES,
    wrap: probe.wrap,
    onSend: probe.onSend,
  });
  fleet.clock.runTo(fleet.clock.nowMs() + SETTLE_S * 1_000);
  run(fleet, 5, perSecond, random);
  probe.reset();
  run(fleet, MEASURE_S, perSecond, random);
  const {sent, bytes, maxBytes} = probe.counts;
  const {peer_received: peer, tick} = probe.steps;
  const perNode = 1 / size / MEASURE_S;
  const row = {
    nodes: size,
    'requests/s': perSecond,
    'messages/s': +(sent * perNode).toFixed(2),
    'bytes/s': Math.round(bytes * perNode),
    'largest B': maxBytes,
    'us/peer event': +(peer.us / peer.n).toFixed(1),
    'us/tick': +(tick.us / tick.n).toFixed(1),
    'peer % core': +((peer.us * perNode) / 10_000).toFixed(3),
  };
  return {...row, ...measureDetection(fleet, probe)};
}

function measureDetection(fleet, probe) {
  const [engine] = fleet.engines;
  probe.informedRouters.clear();
  engine.leaving = true;
  engine.reportsOnlyTo = fleet.routers[0].address;
  const first = timeUntil(fleet, () => probe.informedRouters.size > 0);
  const all = timeUntil(fleet, () => probe.informedRouters.size === probe.size);
  const last = fleet.routers.at(-1);
  last.crash();
  const dead = timeUntil(fleet, () =>
    fleet.routers.every(r => r === last || !r.alive.has(last.address)),
  );
  return {'leaving s': first < 120 ? all : NaN, 'dead s': dead};
}

function slope(rows, key) {
  const mean = list => list.reduce((a, b) => a + b, 0) / list.length;
  const mx = mean(rows.map(r => r.nodes));
  const my = mean(rows.map(r => r[key]));
  const cov = rows.reduce((s, r) => s + (r.nodes - mx) * (r[key] - my), 0);
  return cov / rows.reduce((s, r) => s + (r.nodes - mx) ** 2, 0);
}

for (const perSecond of [0, REQUESTS_PER_NODE_PER_S]) {
  const rows = SIZES.map(size => measure(size, perSecond));
  console.table(rows);
  for (const key of ['messages/s', 'bytes/s', 'us/peer event']) {
    console.log(`slope of ${key}: ${slope(rows, key).toFixed(4)} per node`);
  }
}
