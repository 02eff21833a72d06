// Measures what one gateway in a fleet costs: processor time, wake-ups and
// datagrams. Its peers, callers and endpoints are stand-ins in this process.
// Arguments: gateways, requests per second of the fleet, seconds.
// --role member, reader (of the store) or relay; --serve: it also serves its
// own share of the requests; --bin, --flags: program and flags of Node.js;
// --warm-up: milliseconds before the measurement; --perf: arguments of `perf`,
// e.g. `stat -e instructions`, which counts more steadily on a busy machine.
import {spawn} from 'node:child_process';
import {readdirSync, readFileSync} from 'node:fs';
import {clearInterval, setInterval} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {startPeerDoubles} from './fleet/peer_doubles.mjs';
import {startGatewayFleet} from './fleet/gateway_fleet.mjs';

const NS_PER_SECOND = 1e9;
const ENGINES = 45;
/** One request in this many has a prompt that may take several engines. */
const LONG_EVERY = 25;
const SHORT = {path: '/lookup/1', tokens: [4_000, 1_800], deadlineMs: 20_000};
const LONG = {path: '/run/1', tokens: [150_000, 1_800], deadlineMs: 30_000};

const {values: args, positionals} = parseArgs({
  allowPositionals: true,
  options: {
    role: {type: 'string', default: 'reader'},
    serve: {type: 'boolean', default: false},
    bin: {type: 'string'},
    flags: {type: 'string', default: ''},
    perf: {type: 'string'},
    'warm-up': {type: 'string', default: '4000'},
  },
});
const [gateways, requestsPerSecond, seconds] = [68, 62, 10].map((fallback, i) =>
  Number(positionals[i] ?? fallback),
);
const {role, serve, bin} = args;
const flags = args.flags.split(' ').filter(Boolean);

/** Sums over all threads of the process. */
function usageOf(pid) {
  const sum = {cpu: 0, main: 0, wakeUps: 0};
  for (const task of readdirSync(`/proc/${pid}/task`)) {
    const dir = `/proc/${pid}/task/${task}`;
    const schedstat = readFileSync(`${dir}/schedstat`, 'utf8').split(' ');
    const status = readFileSync(`${dir}/status`, 'utf8');
    const cpu = Number(schedstat[0]) / NS_PER_SECOND;
    sum.cpu += cpu;
    if (task === `${pid}`) sum.main += cpu;
    sum.wakeUps += Number(/^voluntary_ctxt_switches:\s+(\d+)/m.exec(status)[1]);
  }
  return sum;
}

const fleet = await startGatewayFleet({
  gateways: 1,
  engines: ENGINES,
  services: 5,
  bin,
  flags,
});
const [gateway] = fleet.gateways;
const atReady = usageOf(gateway.pid);
const port = Number(gateway.started.peers.split(':')[1]);
const peers = await startPeerDoubles({port, gateways, role});
const engines = fleet.platform.engines.slice(0, ENGINES).map(({id}) => id);
peers.playWork(engines, requestsPerSecond);

let sent = 0;
let answered = 0;
async function request() {
  sent += 1;
  const answer = await fleet.send(gateway, sent % LONG_EVERY ? SHORT : LONG);
  if (answer.complete && answer.status === 200) answered += 1;
}
const own =
  serve &&
  setInterval(() => void request(), (1_000 * gateways) / requestsPerSecond);

await sleep(Number(args['warm-up']));
const before = usageOf(gateway.pid);
const datagramsBefore = peers.counts.received;
peers.counts.byKind.clear();
const perf =
  args.perf &&
  spawn(
    'perf',
    [...args.perf.split(' '), '-p', `${gateway.pid}`, 'sleep', `${seconds}`],
    {stdio: 'inherit'},
  );
const startedMs = performance.now();
await sleep(seconds * 1_000);
const elapsed = (performance.now() - startedMs) / 1_000;
const after = usageOf(gateway.pid);
const rate = (from, to) => (to - from) / elapsed;
const percent = share => `${(100 * share).toFixed(2)}%`;
console.log(
  `${gateways} gateways, ${requestsPerSecond} requests/s, ${role}${serve ? ', serving' : ''}: ` +
    `${percent(rate(before.cpu, after.cpu))} of a core ` +
    `(main thread ${percent(rate(before.main, after.main))}), ` +
    `${rate(before.wakeUps, after.wakeUps).toFixed(0)} wake-ups/s, ` +
    `${rate(datagramsBefore, peers.counts.received).toFixed(0)} datagrams/s sent; ` +
    `ready after ${atReady.cpu.toFixed(2)} s, ` +
    `measured from ${before.cpu.toFixed(2)} s on; ${answered} of ${sent} answered`,
);
console.log(JSON.stringify(Object.fromEntries(peers.counts.byKind)));
if (perf && perf.exitCode === null) {
  await new Promise(done => perf.once('exit', done));
}
if (own) clearInterval(own);
await peers.stop();
if (flags.length > 0) {
  gateway.kill('SIGTERM');
  await gateway.exited;
}
await fleet.stop();
