import {spawn} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {parseArgs} from 'node:util';
import {burstFactor, capacityOf} from './bench_capacity.mjs';
import {
  createFleet,
  ENGINES,
  startBenchFleet,
  TIME_SCALE,
} from './bench_fleet.mjs';
import {readBenchMix} from './bench_mix.mjs';
import {evaluateTargets, formatTable} from './bench_report.mjs';
import {readMetrics, sampleUsage} from './bench_usage.mjs';
import {toIni} from './process.mjs';

const {values: args} = parseArgs({
  options: {
    json: {type: 'boolean', default: false},
    quick: {type: 'boolean', default: false},
    mix: {type: 'string', default: 'cotecode'},
    seed: {type: 'string', default: '1'},
    seconds: {type: 'string'},
    'max-timeout-ms': {type: 'string'},
    plan: {type: 'string'},
  },
});

const VARIANTS = {
  a: {strategy: 'round_robin', queue: 'fifo'},
  b: {strategy: 'least_outstanding', queue: 'fifo'},
  c: {strategy: 'expected_cost', queue: 'fair'},
};
/** Runs that the targets need come first. */
const FULL_PLAN = ['a 0.7', 'b 0.7', 'c 0.7', 'c 1', 'c 1.5', 'a 1.5', 'b 1.5'];
const QUICK_PLAN = ['a 0.7', 'b 0.7', 'c 0.7'];
const LOAD_BIN = 'packages/standins/bin/wl-load.js';
/** Above this share of the machine or of wl-load's core, figures are skewed. */
const BOTTLENECK_SHARE = 0.9;

const durationMs = Number(args.seconds ?? (args.quick ? 5 : 25)) * 1_000;
const bench = readBenchMix(`packages/standins/mixes/${args.mix}.json`);
// Engines run faster than real time; shorter timeouts bound a run's length.
const maxTimeoutMs = Number(
  args['max-timeout-ms'] ?? (args.quick ? 10_000 : 60_000),
);
for (const cls of bench.mix.classes) {
  cls.timeoutMs = Math.min(cls.timeoutMs, maxTimeoutMs);
}
const capacity = capacityOf(bench.mix, ENGINES, TIME_SCALE);
const results = [];
let fleet;
let loader;

async function runLoad(settings) {
  const file = join(fleet.dir, 'load.ini');
  writeFileSync(file, toIni(settings));
  loader = spawn(process.execPath, [LOAD_BIN, '--config', file, '--json'], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  const child = loader;
  const exited = new Promise((resolve, reject) => {
    child.once('exit', resolve);
    child.once('error', reject);
  });
  const stopSampling = sampleUsage([
    ...fleet.processes,
    {pid: child.pid, kind: 'load'},
  ]);
  let output = '';
  try {
    for await (const chunk of child.stdout) output += chunk;
    const code = await exited;
    if (code !== 0) throw new Error(`wl-load ended with code ${code}`);
  } finally {
    stopSampling();
  }
  return {result: JSON.parse(output), peaks: stopSampling()};
}

async function run(variant, load) {
  fleet = createFleet();
  try {
    const routing = VARIANTS[variant];
    const started = await startBenchFleet(fleet, bench.mix, routing);
    const rate = capacity * load;
    const base = rate / burstFactor(bench.mix, durationMs);
    const mixFile = join(fleet.dir, 'mix.json');
    writeFileSync(
      mixFile,
      JSON.stringify({...bench.mix, requestsPerSecond: base}),
    );
    const before = await readMetrics(started.routers);
    const startedMs = performance.now();
    const {result, peaks} = await runLoad({
      load: {
        routers: started.routers.map(r => `http://${r.caller}`).join(','),
        services: started.plain.url,
        mix: mixFile,
        seed: args.seed,
        duration_ms: durationMs,
        max_in_flight: 5_000,
      },
      baseline: {requests: args.quick ? 1 : 3},
    });
    const elapsed = (performance.now() - startedMs) / 1_000;
    const after = await readMetrics(started.routers);
    const perSecond = (result.sent * result.withinTime * 1_000) / durationMs;
    return {
      variant,
      load,
      rate,
      ...result,
      goodput: perSecond,
      cpuMsPerRequest:
        ((after.cpuSeconds - before.cpuSeconds) * 1_000) / result.sent,
      peerBytesPerSecond:
        after.peerBytes === undefined
          ? undefined
          : (after.peerBytes - before.peerBytes) / elapsed,
      peaks,
    };
  } finally {
    await stopAll();
  }
}

async function stopAll() {
  if (loader && loader.exitCode === null) loader.kill('SIGKILL');
  await fleet?.stop();
}

function printTable() {
  const {mix, seed} = args;
  const calculated = `calculated capacity ${capacity.toFixed(1)} requests/s`;
  console.log(
    `mix ${mix}, seed ${seed}, ${durationMs} ms, timeouts up to ` +
      `${maxTimeoutMs} ms, ${calculated}`,
  );
  console.log('times in ms as p50/p95/p99');
  console.log(formatTable(results, bench.shortCustomer, bench.longClasses));
  if (args.plan || results.length < QUICK_PLAN.length) return;
  for (const {what, limit, value, reached} of evaluateTargets(results, bench)) {
    const verdict = reached ? 'reached' : 'NOT reached';
    console.log(`${verdict}: ${what}: ${value.toFixed(2)} (limit ${limit})`);
  }
}

for (const signal of ['SIGINT', 'SIGTERM']) {
  process.once(signal, () => {
    // An interrupted benchmark prints the runs that have ended.
    if (results.length > 0) printTable();
    stopAll().finally(() => process.exit(1));
  });
}

const standardPlan = args.quick ? QUICK_PLAN : FULL_PLAN;
const plan = args.plan?.split(',') ?? standardPlan;
for (const step of plan) {
  const [variant, load] = step.split(' ');
  const result = await run(variant, Number(load));
  results.push(result);
  console.error(`${step}: ${result.sent} sent, ${result.durationMs} ms`);
}
const bottleneck = results.some(
  ({peaks}) =>
    peaks.machine > BOTTLENECK_SHARE || peaks.load > BOTTLENECK_SHARE,
);
if (args.json) {
  const {mix, seed} = args;
  const head = {mix, seed, durationMs, maxTimeoutMs, capacity, bottleneck};
  const targets = evaluateTargets(results, bench);
  console.log(JSON.stringify({...head, results, targets}));
} else {
  printTable();
  if (bottleneck) console.log('The machine or wl-load was a bottleneck.');
}
