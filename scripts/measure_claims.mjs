// Prints appends and verdict times of the claims feature for several loads, on
// a virtual clock. Needs a build. Usage: node scripts/measure_claims.mjs
import {createRouterFleet} from '../packages/core/dist/mocks/router_fleet.js';

const SEED = 1;
const TICK_MS = 10;
const WARM_UP_MS = 5_000;
const MEASURED_MS = 30_000;
/** Longer than the timeout, so that the last requests end. */
const QUIESCENCE_MS = 3_000;
const NODES = [7, 28];
const CALLS_PER_SECOND = [10, 50, 120, 300];

function percentile(values, share) {
  const sorted = [...values].sort((a, b) => a - b);
  return Math.round(sorted[Math.floor(share * (sorted.length - 1))] ?? NaN);
}

function measure(nodes, callsPerSecond) {
  const fleet = createRouterFleet(nodes, SEED, TICK_MS);
  const {clock, random, journal} = fleet.env;
  const endMs = clock.nowMs() + WARM_UP_MS + MEASURED_MS;
  // Poisson arrivals, spread evenly over the routers.
  const arrive = () => {
    if (clock.nowMs() >= endMs) return;
    fleet.request(Math.floor(random() * nodes), fleet.newKey());
    clock.after((-Math.log(1 - random()) * 1_000) / callsPerSecond, arrive);
  };
  arrive();
  clock.advance(WARM_UP_MS);
  const before = {...journal, verdicts: journal.verdictMs.length};
  const requestsBefore = journal.requests.size;
  clock.advance(MEASURED_MS);
  const claimBytes = journal.claimBytes - before.claimBytes;
  const claimAppends = journal.claimAppends - before.claimAppends;
  const peerMessages = journal.peerMessages - before.peerMessages;
  const calls = journal.requests.size - requestsBefore;
  clock.advance(QUIESCENCE_MS);
  const seconds = MEASURED_MS / 1_000;
  const waits = journal.verdictMs.slice(before.verdicts);
  return {
    nodes,
    calls: calls / seconds,
    appends: claimAppends / seconds,
    kilobytes: claimBytes / 1_000 / seconds,
    messages: peerMessages / seconds,
    p50: percentile(waits, 0.5),
    p99: percentile(waits, 0.99),
    dispatched: journal.runs.length,
    requests: journal.requests.size,
  };
}

const rows = NODES.flatMap(nodes =>
  CALLS_PER_SECOND.map(calls => measure(nodes, calls)),
);
console.log(
  '| nodes | calls/s | appends/s | log KB/s | peer messages/s | verdict p50 ms | verdict p99 ms | dispatched of requests |',
);
console.log('| --- | --- | --- | --- | --- | --- | --- | --- |');
for (const row of rows) {
  console.log(
    `| ${row.nodes} | ${row.calls.toFixed(1)} | ${row.appends.toFixed(1)} | ${row.kilobytes.toFixed(1)} | ${row.messages.toFixed(1)} | ${row.p50} | ${row.p99} | ${row.dispatched} of ${row.requests} |`,
  );
}
