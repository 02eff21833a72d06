// Soak test: injects random faults around real gateways on loopback and prints
// the invariants that they violate.
// soak.mjs --seeds FIRST..LAST [options]    given seeds
// soak.mjs --minutes N [options]            random seeds
import {cac} from 'cac';
import {runSeed} from './run_seed.mjs';

const DEFAULT_SECONDS = 12;

const cli = cac('soak');
cli.option('--seeds <range>', 'Seeds FIRST..LAST or one seed');
cli.option('--minutes <n>', 'Play fresh seeds for so long');
cli.option('--seconds <n>', 'Time in which faults begin, for each seed');
cli.option('--gateways <n>', 'Gateways of the fleet');
cli.option('--kinds <n>', 'Draw from the oldest N kinds of faults');
const {options} = cli.parse();

function* seeds() {
  if (options.seeds !== undefined) {
    const [first, last = first] = String(options.seeds).split('..').map(Number);
    for (let seed = first; seed <= last; seed++) yield seed;
    return;
  }
  const endMs = Date.now() + Number(options.minutes ?? 1) * 60_000;
  while (Date.now() < endMs) yield Math.floor(Math.random() * 1e9);
}

let failed = 0;
for (const seed of seeds()) {
  const durationMs = Number(options.seconds ?? DEFAULT_SECONDS) * 1_000;
  const {violations, faults, requests} = await runSeed(seed, durationMs, {
    gateways: options.gateways && Number(options.gateways),
    kinds: options.kinds && Number(options.kinds),
  });
  console.log(
    `seed ${seed}: ${faults} faults, ${requests} requests, ` +
      `${violations.length === 0 ? 'passed' : 'FAILED'}`,
  );
  for (const violation of violations.slice(0, 10))
    console.log(`  ${violation}`);
  if (violations.length > 0) failed += 1;
}
console.log(failed === 0 ? 'all seeds passed' : `${failed} seeds failed`);
process.exitCode = failed === 0 ? 0 : 1;
