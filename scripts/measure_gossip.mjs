// Measures the CPU time of one gateway in a fleet. Its peers are plain UDP
// sockets that send heartbeats and work updates at the rate of the fleet,
// directly in a small fleet and through a relay in a large one.
// Arguments: gateways, requests per second of the fleet, seconds.
import {createSocket} from 'node:dgram';
import {readFileSync} from 'node:fs';
import {clearInterval, setInterval} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {hash32} from '../packages/core/dist/shared/hash32.js';
import {encodeDatagram} from '../packages/gateway/dist/peers/encode_datagram.js';
import {startGatewayFleet} from './fleet/gateway_fleet.mjs';

const TICKS_PER_SECOND = 100;
const WORK_MS = 1_500;
/** Largest fleet without a relay, as in the core. */
const MAX_GATEWAYS_WITHOUT_RELAY = 12;
const DIGEST_INTERVAL_MS = 40;
const HEARTBEAT_INTERVAL_MS = 1_000;

const [gateways = 68, requestsPerSecond = 62, seconds = 10] = process.argv
  .slice(2)
  .map(Number);

function cpuSeconds(pid) {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(' ');
  return (Number(fields[13]) + Number(fields[14])) / TICKS_PER_SECOND;
}

const fleet = await startGatewayFleet({gateways: 1, engines: 45, services: 5});
const [gateway] = fleet.gateways;
const [, port] = gateway.started.peers.split(':');
const hash = hash32(`fleet-${port}`);
let received = 0;
const peers = await Promise.all(
  Array.from({length: gateways - 1}, async (_, i) => {
    const socket = createSocket('udp4');
    socket.on('message', () => (received += 1));
    await new Promise(resolve =>
      socket.bind(Number(port), `127.0.1.${i + 1}`, resolve),
    );
    return socket;
  }),
);

function send(i, message) {
  const bytes = encodeDatagram(hash, 1, message);
  peers[i].send(bytes, Number(port), '127.0.0.2');
}

const state = {
  failureDomain: 'zone-b',
  storeReachable: true,
  draining: false,
  withoutWork: true,
  work: [],
};
const heartbeat = {kind: 'beat', ...state, wantsReply: false, passOn: false};
const direct = gateways <= MAX_GATEWAYS_WITHOUT_RELAY;
let digest = {changes: [], beats: []};
const memberOf = i => ({member: `127.0.1.${i + 1}:${port}`, incarnation: 1});
function sendHeartbeat(i) {
  if (direct) return send(i, heartbeat);
  digest.beats.push({...memberOf(i), ...state});
}
peers.forEach((_, i) => send(i, heartbeat));
const timers = peers.map((_, i) =>
  setInterval(() => sendHeartbeat(i), HEARTBEAT_INTERVAL_MS),
);
let startedWork = 0;
function sendWorkUpdate(i, changes) {
  const all = {started: [], writing: [], ended: [], ...changes};
  if (direct) return send(i, {kind: 'work_update', passOn: false, ...all});
  digest.changes.push({...memberOf(i), ...all});
}
const relay = setInterval(() => {
  if (digest.changes.length + digest.beats.length > 0) {
    send(0, {kind: 'fleet_digest', passOn: false, ...digest});
  }
  digest = {changes: [], beats: []};
}, DIGEST_INTERVAL_MS);
const load = setInterval(() => {
  startedWork += 1;
  const [i, work] = [startedWork % peers.length, startedWork];
  const engine = fleet.platform.engines[work % 45].id;
  const notice = {
    work,
    main: engine,
    helpers: [],
    shared: false,
    promptTokens: 5_000,
    outputTokens: 1_500,
    dueInMs: 300,
    gapMs: 250,
    ageMs: 0,
    writing: false,
  };
  sendWorkUpdate(i, {started: [notice]});
  setTimeout(() => sendWorkUpdate(i, {writing: [work]}), 100);
  setTimeout(() => sendWorkUpdate(i, {ended: [work]}), WORK_MS);
}, 1_000 / requestsPerSecond);

await sleep(2_000);
const [cpuBefore, receivedBefore] = [cpuSeconds(gateway.pid), received];
await sleep(seconds * 1_000);
const used = (cpuSeconds(gateway.pid) - cpuBefore) / seconds;
console.log(
  `${gateways} gateways, ${requestsPerSecond} requests/s: ` +
    `${(100 * used).toFixed(1)}% of a core, ` +
    `${((received - receivedBefore) / seconds).toFixed(0)} datagrams/s sent`,
);
clearInterval(load);
clearInterval(relay);
for (const timer of timers) clearInterval(timer);
await sleep(WORK_MS);
for (const socket of peers) socket.close();
await fleet.stop();
