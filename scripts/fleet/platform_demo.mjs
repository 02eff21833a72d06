// Demo with faults: gateway processes on loopback in front of a simulated
// store, engines and services. Arguments: a seed and the memory of an engine in
// tokens.
import {setTimeout as sleep} from 'node:timers/promises';
import {createSeededRandom} from '../../packages/runtime/dist/loop/seeded_random.js';
import {runLoad} from '../../platform/dist/mocks/double_load.js';
import {LOAD_KINDS} from '../../platform/dist/mocks/load_kind.js';
import {loadText} from '../../platform/dist/mocks/load_text.js';
import {startGatewayFleet} from './gateway_fleet.mjs';
import {startRecord} from './run_record.mjs';

const LOAD_MS = 16_000;
/** Memory of one engine, as in the users' deployments. */
const ENGINE_MEMORY_TOKENS = 315_000;
const RECORD_FILE = 'run/platform_demo.json';
/** Interval at which the load balancer probes the gateways. */
const PROBE_INTERVAL_MS = 200;

const print = text => console.log(`demo: ${text}`);

/** Faults with their offsets from the start of the load, in milliseconds. */
function faultSchedule({platform, gateways, start}) {
  return [
    [2_000, 'an engine crashes', () => platform.engines[0].crash()],
    [
      4_000,
      'the store stops answering for 4 s',
      () => (platform.store.faults.mode = 'silent'),
    ],
    [
      5_000,
      'a gateway is killed and started again',
      async () => {
        gateways[0].kill('SIGKILL');
        await gateways[0].exited;
        gateways[0] = await start(0);
      },
    ],
    [
      8_000,
      'the store answers again',
      () => (platform.store.faults.mode = 'sound'),
    ],
    [
      9_000,
      'an engine fails a third of its requests for 3 s',
      () => (platform.engines[1].faults.cut = 0.3),
    ],
    [
      12_000,
      'the engine is healthy again',
      () => (platform.engines[1].faults.cut = 0),
    ],
    [
      13_000,
      'a gateway is stopped gracefully',
      () => gateways[1].kill('SIGTERM'),
    ],
  ];
}

async function main() {
  const [seed = 1, memoryTokens = ENGINE_MEMORY_TOKENS] = process.argv
    .slice(2)
    .map(Number);
  print('starting 3 gateways in front of 6 engines and 2 services');
  const fleet = await startGatewayFleet({
    gateways: 3,
    engines: 6,
    services: 2,
    memoryTokens,
  });
  try {
    process.exitCode = (await run(fleet, seed)) ? 0 : 1;
  } finally {
    await fleet.stop();
  }
}

async function run(fleet, seed) {
  const {gateways} = fleet;
  let ready = gateways.map(gateway => gateway.started.caller);
  let finished = false;
  const record = startRecord(fleet);
  const probing = (async () => {
    while (!finished) {
      const answers = await Promise.all(gateways.map(probe));
      ready = answers.filter(address => address !== undefined);
      await sleep(PROBE_INTERVAL_MS);
    }
  })();
  const faults = Promise.all(
    faultSchedule(fleet).map(async ([atMs, text, begin]) => {
      await sleep(atMs);
      print(`${(atMs / 1_000).toFixed(0)} s: ${text}`);
      await begin();
    }),
  );
  const rows = await runLoad({
    kinds: LOAD_KINDS,
    durationMs: LOAD_MS,
    key: 'key-1',
    gateways: () => ready,
    random: createSeededRandom(seed),
    ended: request => {
      record.request(request);
      const {attemptId, outcome, answer} = request;
      if (outcome === 'in_aim') return;
      const {status, firstMs} = answer;
      print(
        `${attemptId}: ${outcome}, status ${status}, ${firstMs.toFixed(0)} ms`,
      );
    },
  });
  await faults;
  finished = true;
  await probing;
  await record.write(RECORD_FILE);
  process.stdout.write(`\n${loadText(rows)}\n`);
  print(`plots: node scripts/plot_run.mjs ${RECORD_FILE} run/plots.svg`);
  return checkResults(rows, fleet.platform);
}

async function probe(gateway) {
  const url = `http://${gateway.started.probe}/readiness`;
  const signal = AbortSignal.timeout(PROBE_INTERVAL_MS);
  const res = await fetch(url, {signal}).catch(() => undefined);
  return res?.status === 200 ? gateway.started.caller : undefined;
}

/** Checks that no answer is wrong, no write ran twice and most were served. */
function checkResults(rows, platform) {
  const runs = platform.services.flatMap(service => service.runs);
  const writes = runs.filter(id => id.startsWith('write-'));
  const doubleRuns = writes.length - new Set(writes).size;
  const requests = rows.reduce((sum, row) => sum + row.asked, 0);
  const wrong = rows.reduce((sum, row) => sum + row.outcomes.wrong, 0);
  const served = rows.reduce(
    (sum, {outcomes}) => sum + outcomes.in_aim + outcomes.late,
    0,
  );
  print(
    `${served} of ${requests} served, ${wrong} wrong, ` +
      `${doubleRuns} writes run twice`,
  );
  return wrong === 0 && doubleRuns === 0 && served / requests > 0.9;
}

await main();
