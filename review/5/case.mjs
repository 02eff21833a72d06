// An engine asks for a pause of more than a minute.
import {setTimeout as sleep} from 'node:timers/promises';
import {clearInterval, setInterval} from 'node:timers';
import {
  calm,
  configuration,
  HEARTBEAT_MS,
  HOST,
  KEY,
  runCase,
  ZONES,
} from '../lib/case.mjs';
import {nextAttemptId, sendAttempt} from '../lib/client.mjs';
import {startEngine} from '../lib/engine.mjs';

const GATEWAYS = 3;
const ENGINES = 3;
const REQUEST_INTERVAL_MS = 50;
const WARM_UP_MS = 3_000;
/** What the engine asks for. */
const PAUSE_S = 90;
const PLAYED_MS = 75_000;
/** From then on after its answer, a gateway leaves the engine alone. */
const GRACE_MS = 500;
/** The rule lets this many through, from each machine. */
const ALLOWED = 2;

await runCase(import.meta.dirname, {gateways: GATEWAYS}, async stage => {
  const {store, record, gateways} = stage;
  /** Time of the first answer with `Retry-After`, by gateway. */
  const askedMs = new Map();
  /** Requests that came in the pause, by gateway. */
  const inPause = new Map(gateways.map(({name}) => [name, []]));
  /** By attempt. */
  const gatewayOf = new Map();
  let busy = false;

  /** Turns requests away, and asks each gateway once for a pause. */
  function turnAway(engine, {attemptId, atMs}, res) {
    if (engine.id !== 'i-register0' || !busy) return false;
    const gateway = gatewayOf.get(attemptId);
    const asked = askedMs.get(gateway);
    const headers = {'attempt-id': attemptId, 'not-executed': '1'};
    if (asked === undefined) {
      askedMs.set(gateway, atMs);
      headers['retry-after'] = `${PAUSE_S}`;
      record('asked_for_pause', {gateway, seconds: PAUSE_S});
    } else if (atMs > asked + GRACE_MS && atMs < asked + PAUSE_S * 1_000) {
      inPause.get(gateway).push(atMs - asked);
      record('arrived_in_pause', {gateway, afterMs: atMs - asked, attemptId});
    }
    res.writeHead(503, headers);
    res.end();
    return true;
  }

  for (let i = 0; i < ENGINES; i++) {
    const engine = await startEngine({
      store,
      id: `i-register${i}`,
      ip: `${stage.prefix}.${100 + i}`,
      zone: ZONES[i % ZONES.length],
      service: 'register',
      slots: 6,
      heartbeatMs: HEARTBEAT_MS,
      model: false,
      before: turnAway,
    });
    stage.own(engine);
  }
  const read = {
    name: 'r-read',
    pathPrefix: '/read/',
    kind: 'idempotent',
    service: 'register',
    priority: 2,
  };
  const service = {name: 'register', connectionLimit: 100};
  store.configure(configuration({routes: [read], services: [service]}));
  await stage.startAll();
  await sleep(WARM_UP_MS);

  let sent = 0;
  const ends = {};
  const timer = setInterval(() => {
    sent += 1;
    const gateway = gateways[sent % GATEWAYS];
    const attemptId = nextAttemptId();
    gatewayOf.set(attemptId, gateway.name);
    void sendAttempt(gateway, {
      attemptId,
      method: 'GET',
      path: '/read/2f',
      host: HOST,
      key: KEY,
      deadlineMs: 1_500,
    }).then(({status}) => {
      ends[status] = (ends[status] ?? 0) + 1;
    });
  }, REQUEST_INTERVAL_MS);
  await sleep(WARM_UP_MS);
  busy = !calm;
  await sleep(PLAYED_MS);
  clearInterval(timer);
  await sleep(2_000);
  const counts = [...inPause].map(([name, list]) => [name, list.length]);
  return {
    broken: counts.some(([, count]) => count > ALLOWED),
    arrivedInPause: Object.fromEntries(counts),
    firstAfterMs: Math.min(...[...inPause.values()].flat()),
    allowed: ALLOWED,
    sent,
    answers: ends,
  };
});
