// An engine leaves while the gateway that reads the store is replaced, some
// time after an outage of the store.
import {setTimeout as sleep} from 'node:timers/promises';
import {clearInterval, setInterval} from 'node:timers';
import {
  calm,
  configuration,
  DRAIN_MS,
  HEARTBEAT_MS,
  HOST,
  KEY,
  runCase,
  ZONES,
} from '../lib/case.mjs';
import {nextAttemptId, sendAttempt} from '../lib/client.mjs';
import {startEngine} from '../lib/engine.mjs';

const GATEWAYS = 7;
const ENGINES = 4;
/** Each round, one engine leaves; another one takes its place later. */
const ROUNDS = 4;
const REQUEST_INTERVAL_MS = 15;
const WARM_UP_MS = 4_000;
const OUTAGE_MS = 4_500;
/** More than `stabilityWindowMs`: the store is stable when the engine leaves. */
const AFTER_OUTAGE_MS = 8_000;
/** Between the kill of the reader and the end of the engine's entry. */
const LEAVE_AFTER_MS = 100;
/** The engine goes on serving for `drainMs` and a little longer. */
const SERVES_MS = DRAIN_MS + 700;
/** Rest of a round. */
const AFTER_EXIT_MS = 3_000;

await runCase(import.meta.dirname, {gateways: GATEWAYS}, async stage => {
  const {store, record, gateways} = stage;
  const engines = [];
  async function addEngine() {
    const i = engines.length;
    const engine = await startEngine({
      store,
      id: `i-register${i}`,
      ip: `${stage.prefix}.${100 + i}`,
      zone: ZONES[i % ZONES.length],
      service: 'register',
      slots: 6,
      heartbeatMs: HEARTBEAT_MS,
      model: false,
    });
    engines.push(stage.own(engine));
  }
  while (engines.length < ENGINES) await addEngine();
  const read = {
    name: 'r-read',
    pathPrefix: '/read/',
    kind: 'idempotent',
    service: 'register',
    priority: 2,
  };
  const service = {name: 'register', connectionLimit: 100};
  const write = {
    ...read,
    name: 'r-write',
    pathPrefix: '/write/',
    kind: 'non_idempotent',
    maxAttempts: 1,
  };
  store.configure(configuration({routes: [read, write], services: [service]}));
  await stage.startAll();
  await sleep(WARM_UP_MS);

  /** The gateway that reads the store for all: the lowest that reaches it. */
  async function findReader() {
    const reaching = [];
    for (const gateway of gateways) {
      const {address, storeReachable} = await gateway.status();
      record('status', {name: gateway.name, storeReachable});
      if (storeReachable) reaching.push({address, gateway});
    }
    reaching.sort((a, b) => (a.address < b.address ? -1 : 1));
    return reaching[0].gateway;
  }

  let sent = 0;
  /** By attempt: when and to which gateway its client sent it. */
  const attempts = new Map();
  const timer = setInterval(() => {
    sent += 1;
    const gateway = gateways[sent % GATEWAYS];
    if (!gateway.running()) return;
    const attemptId = nextAttemptId();
    attempts.set(attemptId, {gateway: gateway.name});
    const kind = sent % 2 === 0 ? 'read' : 'write';
    void sendAttempt(gateway, {
      attemptId,
      method: kind === 'read' ? 'GET' : 'POST',
      path: `/${kind}/2f`,
      host: HOST,
      key: KEY,
      deadlineMs: 1_500,
    }).then(seen => {
      attempts.get(attemptId).status = seen.status;
      record(kind, seen);
    });
  }, REQUEST_INTERVAL_MS);

  /** One outage, then the loss of the reader while an engine leaves. */
  async function playRound(leaving) {
    if (!calm) {
      record('store_down', {});
      store.stop();
    }
    await sleep(OUTAGE_MS);
    store.resume();
    record('store_up', {});
    await sleep(AFTER_OUTAGE_MS);
    const reader = await findReader();
    record('reader', {name: reader.name});
    if (!calm) reader.signal('SIGKILL');
    await sleep(LEAVE_AFTER_MS);
    leaving.leaveSilently();
    const acknowledgedMs = Date.now();
    record('engine_leaves', {engine: leaving.id});
    await sleep(SERVES_MS);
    leaving.crash();
    record('engine_exits', {engine: leaving.id});
    await sleep(AFTER_EXIT_MS);
    await addEngine();
    if (!calm) {
      reader.start();
      await reader.awaitReady();
    }
    return lateArrivals(leaving, acknowledgedMs, reader);
  }

  /** Requests that reached the engine too late, from machines in touch. */
  function lateArrivals(leaving, acknowledgedMs, killed) {
    const late = leaving.arrivals
      .filter(({atMs}) => atMs > acknowledgedMs + DRAIN_MS)
      .map(arrival => ({...arrival, ...attempts.get(arrival.attemptId)}))
      .map(({atMs, gateway, attemptId}) => ({
        afterMs: atMs - acknowledgedMs,
        gateway,
        attemptId,
        status: attempts.get(attemptId)?.status,
      }))
      .filter(({gateway}) => gateway !== killed.name);
    for (const arrival of late) record('late_arrival', arrival);
    return late;
  }

  const late = [];
  for (const leaving of engines.slice(0, ROUNDS)) {
    late.push(...(await playRound(leaving)));
  }
  clearInterval(timer);
  await sleep(1_000);
  return {
    broken: late.length > 0,
    lateArrivals: late.length,
    lastAfterMs: Math.max(0, ...late.map(({afterMs}) => afterMs)),
    lateRequestsThatFailed: late.filter(({status}) => status !== 200).length,
    gateways: [...new Set(late.map(({gateway}) => gateway))],
  };
});
