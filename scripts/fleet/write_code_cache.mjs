// Runs the bundle under target/ for a moment, so that it writes the code that
// V8 compiled meanwhile. Arguments: the flags of Node.js that it is run with.
import {spawnSync} from 'node:child_process';
import {setTimeout as sleep} from 'node:timers/promises';
import {startGatewayFleet} from './gateway_fleet.mjs';

const BIN = 'target/run_bundle.mjs';
const ROUNDS = 3;
/** Requests of a round, which are sent at the same time. */
const REQUESTS = 10;
/** A prompt that is read by several engines, and one that is not. */
const LONG = {path: '/run/1', tokens: [220_000, 400], deadlineMs: 15_000};
const SHORT = {path: '/lookup/1', tokens: [2_000, 400]};

const TIMEOUT_MS = 60_000;

const flags = process.argv.slice(2);

async function serve(fleet) {
  const [writer, peer] = fleet.gateways;
  for (let round = 0; round < ROUNDS; round++) {
    const short = Array.from({length: REQUESTS}, () => SHORT);
    await Promise.all([
      ...short.map(request => fleet.send(writer, request)),
      fleet.send(writer, LONG),
      fleet.send(peer, LONG),
    ]);
  }
  // Only a process that ends by itself writes the cache.
  writer.kill('SIGTERM');
  await writer.exited;
}

async function fail() {
  await sleep(TIMEOUT_MS, undefined, {ref: false});
  throw new Error(`no code cache within ${TIMEOUT_MS} ms`);
}

const fleet = await startGatewayFleet({
  gateways: 3,
  engines: 6,
  bin: BIN,
  flags,
  args: ['--write-code-cache'],
});
try {
  await Promise.race([serve(fleet), fail()]);
} finally {
  await fleet.stop();
}

const {stderr} = spawnSync(process.execPath, [...flags, BIN, '--version'], {
  encoding: 'utf8',
});
if (stderr !== '') throw new Error(`the code cache is of no use: ${stderr}`);
