// The demo on the users' platform: gateways as processes on loopback before
// stand-ins of store, engines and services, with faults. Arguments: a seed and
// the memory of an engine in tokens.
import {setTimeout as sleep} from 'node:timers/promises';
import {createSeededRandom} from '../../packages/runtime/dist/loop/seeded_random.js';
import {runLoad} from '../../platform/dist/mocks/double_load.js';
import {LOAD_KINDS} from '../../platform/dist/mocks/load_kind.js';
import {loadText} from '../../platform/dist/mocks/load_text.js';
import {startGatewayFleet} from './gateway_fleet.mjs';
import {startRecord} from './run_record.mjs';

const LOAD_MS = 16_000;
/** Memory of an engine, as at the users. */
const ENGINE_MEMORY_TOKENS = 315_000;
const RECORD_FILE = 'run/platform_demo.json';
/** A balancer asks this often which gateways are ready. */
const PROBE_INTERVAL_MS = 200;

const say = text => console.log(`demo: ${text}`);

/** What goes wrong, and when after the start of the load. */
function troubles({platform, gateways, start}) {
  return [
    [2_000, 'an engine crashes', () => platform.engines[0].crash()],
    [
      4_000,
      'the store falls silent for 4 s',
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
    [8_000, 'the store is back', () => (platform.store.faults.mode = 'sound')],
    [
      9_000,
      'an engine fails a third of its requests for 3 s',
      () => (platform.engines[1].faults.cut = 0.3),
    ],
    [12_000, 'it is sound', () => (platform.engines[1].faults.cut = 0)],
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
  say('starting 3 gateways before 6 engines and 2 services');
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
  let over = false;
  const record = startRecord(fleet);
  const probing = (async () => {
    while (!over) {
      const answers = await Promise.all(gateways.map(probe));
      ready = answers.filter(address => address !== undefined);
      await sleep(PROBE_INTERVAL_MS);
    }
  })();
  const failing = Promise.all(
    troubles(fleet).map(async ([atMs, text, begin]) => {
      await sleep(atMs);
      say(`${(atMs / 1_000).toFixed(0)} s: ${text}`);
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
      say(
        `${attemptId}: ${outcome}, status ${status}, ${firstMs.toFixed(0)} ms`,
      );
    },
  });
  await failing;
  over = true;
  await probing;
  await record.write(RECORD_FILE);
  process.stdout.write(`\n${loadText(rows)}\n`);
  say(`plots: node scripts/plot_run.mjs ${RECORD_FILE} run/plots.svg`);
  return held(rows, fleet.platform);
}

async function probe(gateway) {
  const url = `http://${gateway.started.probe}/readiness`;
  const signal = AbortSignal.timeout(PROBE_INTERVAL_MS);
  const res = await fetch(url, {signal}).catch(() => undefined);
  return res?.status === 200 ? gateway.started.caller : undefined;
}

/** No answer is wrong, no write runs twice, and most requests are served. */
function held(rows, platform) {
  const runs = platform.services.flatMap(service => service.runs);
  const writes = runs.filter(id => id.startsWith('write-'));
  const twice = writes.length - new Set(writes).size;
  const asked = rows.reduce((sum, row) => sum + row.asked, 0);
  const wrong = rows.reduce((sum, row) => sum + row.outcomes.wrong, 0);
  const served = rows.reduce(
    (sum, {outcomes}) => sum + outcomes.in_aim + outcomes.late,
    0,
  );
  say(`${served} of ${asked} served, ${wrong} wrong, ${twice} writes twice`);
  return wrong === 0 && twice === 0 && served / asked > 0.9;
}

await main();
