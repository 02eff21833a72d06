// Runs the same seeded mixed load on a virtual clock under each policy and
// prints the metrics with their ratios to the baselines.
// Usage: node scripts/policy_bench.mjs [seed] [virtual seconds] [policies]
import {runLoad} from '../packages/core/dist/mocks/bench/run_load.js';
import {
  LENGTH_GROUPS,
  summarise,
} from '../packages/core/dist/mocks/bench/load_summary.js';

const seed = Number(process.argv[2] ?? 1);
const seconds = Number(process.argv[3] ?? 1800);
const policies = (process.argv[4] ?? 'a,b,c').split(',');
const LOADS = [0.7, 1, 1.5];
/** Share of a run that the summary leaves out. */
const WARM_UP = 0.15;
const POLICIES = {
  a: {strategy: 'round_robin', queue: 'fifo'},
  b: {strategy: 'least_outstanding', queue: 'fifo'},
  c: {strategy: 'expected_cost', queue: 'fair'},
};

const summaries = {};
for (const load of LOADS) {
  for (const id of policies) {
    const run = {
      ...POLICIES[id],
      load,
      seed,
      durationMs: seconds * 1000,
      engines: 16,
      routers: 4,
    };
    const started = process.cpuUsage();
    const summary = summarise(runLoad(run), WARM_UP * run.durationMs);
    const cpuMs = process.cpuUsage(started).user / 1000;
    summaries[`${id}${load}`] = summary;
    print(id, load, summary, cpuMs);
  }
  compare(load);
}
const full = summaries['c1'];
const overload = summaries['c1.5'];
if (full && overload) {
  const ratio = key => (overload[key] / full[key]).toFixed(2);
  console.log(
    `c goodput at 150% to 100%: requests ${ratio('requestsPerSecond')},` +
      ` prompt tokens ${ratio('tokensPerSecond')}`,
  );
}

function print(id, load, s, cpuMs) {
  const {strategy, queue} = POLICIES[id];
  console.log(
    `\n(${id}) ${strategy} + ${queue}, load ${load * 100}%,` +
      ` ${s.requests} requests, cpu ${(cpuMs / 1000).toFixed(1)} s`,
  );
  LENGTH_GROUPS.forEach((upTo, i) => {
    const times = s.firstTokenMs[i].map(ms => Math.round(ms)).join(' / ');
    const share = (100 * s.inTime[i]).toFixed(1);
    console.log(`  to ${upTo} tokens: ttft ms ${times}, in time ${share}%`);
  });
  const slow = s.shortSlowdown.map(x => x.toFixed(2)).join(' / ');
  console.log(`  short slowdown ${slow}`);
  console.log(
    `  long p95 completion ${Math.round(s.longP95Ms)} ms,` +
      ` with unfinished at their timeout ${Math.round(s.longP95AllMs)} ms,` +
      ` in time ${(100 * s.longInTime).toFixed(1)}%`,
  );
  console.log(
    `  goodput ${s.requestsPerSecond.toFixed(2)} requests/s,` +
      ` ${Math.round(s.tokensPerSecond)} prompt tokens/s,` +
      ` worst total/timeout ${s.worstOfTimeout.toFixed(3)}`,
  );
  console.log(`  ${JSON.stringify(s.outcomes)}`);
}

function compare(load) {
  const c = summaries[`c${load}`];
  for (const id of ['a', 'b']) {
    const base = summaries[`${id}${load}`];
    if (!c || !base) continue;
    const ratio = metricOf => (metricOf(c) / metricOf(base)).toFixed(3);
    console.log(
      `  c to ${id}: p99 ttft to 4k ${ratio(s => s.firstTokenMs[0][2])},` +
        ` p99 short slowdown ${ratio(s => s.shortSlowdown[2])},` +
        ` long p95 completion ${ratio(s => s.longP95Ms)},` +
        ` with unfinished ${ratio(s => s.longP95AllMs)},` +
        ` long in time ${ratio(s => s.longInTime)}`,
    );
  }
}
