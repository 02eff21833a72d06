// Stand-ins of a gateway's peers: UDP sockets that send heartbeats, changes of
// work and store news at the rate of a fleet.
import {createSocket} from 'node:dgram';
import {clearInterval, setInterval} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {hash32} from '../../packages/core/dist/shared/hash32.js';
import {decodeDatagram} from '../../packages/gateway/dist/peers/decode_datagram.js';
import {encodeDatagram} from '../../packages/gateway/dist/peers/encode_datagram.js';

/** Largest fleet without a relay, as in the core. */
const MAX_GATEWAYS_WITHOUT_RELAY = 12;
const DIGEST_INTERVAL_MS = 40;
const HEARTBEAT_INTERVAL_MS = 1_000;
const NEWS_INTERVAL_MS = 500;
const NEWS_WAIT_MS = 20;
const CHANGES_PER_DIGEST = 20;
const HEARTBEATS_PER_DIGEST = 8;
const WORK_MS = 1_500;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
/** Address of the measured gateway. */
const TARGET = '127.0.0.2';

/**
 * Addresses of the peers. The lowest address reads the store, the highest of
 * a failure domain is its relay; the measured gateway is in the first domain.
 */
function peerAddress(i, role) {
  if (role === 'reader') return `127.0.1.${i + 1}`;
  const below = i === 0 || (role === 'relay' && i % ZONES.length === 0);
  return below ? `127.0.0.${100 + i / ZONES.length}` : `127.0.1.${i + 1}`;
}

/**
 * Starts the peers of one gateway.
 * @param role `member`, `reader` of the store, or `relay`
 */
export async function startPeerDoubles({port, gateways, role}) {
  const hash = hash32(`fleet-${port}`);
  const direct = gateways <= MAX_GATEWAYS_WITHOUT_RELAY;
  const counts = {received: 0, byKind: new Map()};
  const peers = Array.from({length: gateways - 1}, (_, i) => ({
    ip: peerAddress(i, role),
    zone: ZONES[i % ZONES.length],
  }));
  /** Digests of the three relays, which the measured gateway may hear. */
  const pending = ZONES.map(() => ({changes: [], beats: []}));
  let news;
  await Promise.all(peers.map(open));

  async function open(peer) {
    peer.socket = createSocket('udp4');
    peer.socket.on('message', bytes => received(bytes));
    await new Promise(done => peer.socket.bind(port, peer.ip, done));
  }

  function received(bytes) {
    counts.received += 1;
    const datagram = decodeDatagram(bytes);
    if (!datagram) return;
    const {message, incarnation} = datagram;
    const {kind} = message;
    counts.byKind.set(kind, (counts.byKind.get(kind) ?? 0) + 1);
    if (kind === 'store_news') news ??= message;
    if (!message.passOn || kind === 'fleet_digest') return;
    const own = {...message, member: `${TARGET}:${port}`, incarnation};
    // The relay passes the gateway's own words on, which confirms them.
    if (kind === 'beat') pending[0].beats.push(own);
    else pending[0].changes.push(own);
  }

  function send(peer, message) {
    const bytes = encodeDatagram(hash, 1, message);
    peer.socket.send(bytes, port, TARGET);
  }

  const memberOf = ({ip}) => ({member: `${ip}:${port}`, incarnation: 1});
  const stateOf = ({zone}) => ({
    failureDomain: zone,
    storeReachable: true,
    draining: false,
    withoutWork: true,
    work: [],
  });

  function sendHeartbeat(peer, wantsReply = false) {
    const state = stateOf(peer);
    const zone = ZONES.indexOf(peer.zone);
    const passOn = !direct && role === 'relay' && zone === 0;
    if (direct || passOn || wantsReply) {
      return send(peer, {kind: 'beat', ...state, wantsReply, passOn});
    }
    pending[zone].beats.push({...memberOf(peer), ...state});
  }

  function sendChanges(peer, changes) {
    const all = {started: [], writing: [], ended: [], ...changes};
    const zone = ZONES.indexOf(peer.zone);
    const passOn = !direct && role === 'relay' && zone === 0;
    if (direct || passOn) {
      return send(peer, {kind: 'work_update', passOn, ...all});
    }
    pending[zone].changes.push({...memberOf(peer), ...all});
  }

  function sendDigest(zone) {
    const {changes, beats} = pending[zone];
    pending[zone] = {changes: [], beats: []};
    const relay = peers.findLast(peer => peer.zone === ZONES[zone]);
    while (changes.length + beats.length > 0) {
      send(relay, {
        kind: 'fleet_digest',
        changes: changes.splice(0, CHANGES_PER_DIGEST),
        beats: beats.splice(0, HEARTBEATS_PER_DIGEST),
        passOn: role === 'relay',
      });
    }
  }

  /** A member hears of everything from its own relay. */
  function sendDigests() {
    if (role === 'relay') return ZONES.forEach((_, zone) => sendDigest(zone));
    for (const {changes, beats} of pending.splice(1)) {
      pending[0].changes.push(...changes);
      pending[0].beats.push(...beats);
    }
    pending.push({changes: [], beats: []}, {changes: [], beats: []});
    sendDigest(0);
  }

  // Until it hears the reader, the gateway reads the store and tells the news.
  const [reader] = peers;
  const below = peers.filter(({ip}) => role !== 'reader' && ip < TARGET);
  const above = peers.filter(peer => !below.includes(peer));
  for (const peer of above) sendHeartbeat(peer, true);
  while (role !== 'reader' && !news) await sleep(NEWS_WAIT_MS);
  for (const peer of below) sendHeartbeat(peer, true);
  const timers = peers.map(peer =>
    setInterval(() => sendHeartbeat(peer), HEARTBEAT_INTERVAL_MS),
  );
  timers.push(setInterval(sendDigests, DIGEST_INTERVAL_MS));
  if (role !== 'reader') {
    timers.push(
      setInterval(() => {
        send(reader, {...news, ageMs: 0});
      }, NEWS_INTERVAL_MS),
    );
  }

  let startedWork = 0;
  /** Plays work of the peers on some engines. */
  function playWork(engines, requestsPerSecond) {
    const run = () => {
      startedWork += 1;
      const work = startedWork;
      const peer = peers[work % peers.length];
      const started = [noticeOf(work, engines[work % engines.length])];
      sendChanges(peer, {started});
      setTimeout(() => sendChanges(peer, {writing: [work]}), 100);
      setTimeout(() => sendChanges(peer, {ended: [work]}), WORK_MS);
    };
    timers.push(setInterval(run, 1_000 / requestsPerSecond));
  }

  async function stop() {
    for (const timer of timers) clearInterval(timer);
    await sleep(WORK_MS);
    for (const {socket} of peers) socket.close();
  }

  return {counts, playWork, stop};
}

function noticeOf(work, main) {
  return {
    work,
    main,
    helpers: [],
    shared: false,
    promptTokens: 5_000,
    outputTokens: 1_500,
    dueInMs: 300,
    gapMs: 250,
    ageMs: 0,
    writing: false,
  };
}
