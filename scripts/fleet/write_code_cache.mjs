// Runs the bundle under target/ briefly, so that it writes V8's code cache.
// Arguments: the Node.js flags of the run.
import {spawnSync} from 'node:child_process';
import {setTimeout as sleep} from 'node:timers/promises';
import {startGatewayFleet} from './gateway_fleet.mjs';

const BIN = 'target/run_bundle.mjs';
const ROUNDS = 3;
/** Concurrent short requests of a round. */
const REQUESTS_PER_ROUND = 10;
/** A prompt that is split over several engines, and one that is not. */
const LONG = {path: '/run/1', tokens: [220_000, 400], deadlineMs: 15_000};
const SHORT = {path: '/lookup/1', tokens: [2_000, 400]};

const TIMEOUT_MS = 60_000;

const flags = process.argv.slice(2);

async function serve(fleet) {
  const [writer, peer] = fleet.gateways;
  for (let round = 0; round < ROUNDS; round++) {
    const short = Array.from({length: REQUESTS_PER_ROUND}, () => SHORT);
    await Promise.all([
      ...short.map(request => fleet.send(writer, request)),
      fleet.send(writer, LONG),
      fleet.send(peer, LONG),
    ]);
  }
  // Only a process that exits normally writes the cache.
  writer.kill('SIGTERM');
  await writer.exited;
}

async function rejectAfterTimeout() {
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
  await Promise.race([serve(fleet), rejectAfterTimeout()]);
} finally {
  await fleet.stop();
}

const {stderr} = spawnSync(process.execPath, [...flags, BIN, '--version'], {
  encoding: 'utf8',
});
if (stderr !== '') throw new Error(`the code cache is not usable: ${stderr}`);
