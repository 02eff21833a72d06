// A part of prompts ends engines; they come back under the ids that they had.
import {setTimeout as sleep} from 'node:timers/promises';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {
  calm,
  configuration,
  HEARTBEAT_MS,
  HOST,
  KEY,
  MODEL_SERVICE,
  runCase,
  share,
  STABILITY_MS,
  STREAM_ROUTE,
  ZONES,
} from '../lib/case.mjs';
import {nextAttemptId, sendAttempt} from '../lib/client.mjs';
import {startEngine} from '../lib/engine.mjs';

const GATEWAYS = 7;
const ENGINES = 4;
const SHARED = 'aa01:40';
const DEADLY = 'dead01:800';
const SOUND_INTERVAL_MS = 100;
const DEADLY_INTERVAL_MS = 500;
/** An engine that ended is back after this long. */
const BACK_AFTER_MS = 5_000;
const WARM_UP_MS = 4_000;
const BEFORE_MS = 10_000;
const AFTER_MS = 25_000;
/** The rule counts 20 requests or more on each side. */
const LEAST_REQUESTS = 20;

await runCase(import.meta.dirname, {gateways: GATEWAYS}, async stage => {
  const {store, record, gateways} = stage;
  const crashes = [];

  function endIfDeadly(engine, {attemptId, headers}) {
    if (!headers['prompt-prefix'].includes(DEADLY)) return false;
    if (!engine.crash()) return true;
    crashes.push(Date.now());
    record('engine_ended', {engine: engine.id, attemptId});
    setTimeout(() => {
      void engine
        .start()
        .then(() => record('engine_back', {engine: engine.id}));
    }, BACK_AFTER_MS);
    return true;
  }

  for (let i = 0; i < ENGINES; i++) {
    const engine = await startEngine({
      store,
      id: `i-engine${i}`,
      ip: `${stage.prefix}.${100 + i}`,
      zone: ZONES[i % ZONES.length],
      service: 'llm',
      slots: 11,
      heartbeatMs: HEARTBEAT_MS,
      model: true,
      beforeAnswer: endIfDeadly,
    });
    stage.own(engine);
  }
  store.configure(
    configuration({routes: [STREAM_ROUTE], services: [MODEL_SERVICE]}),
  );
  await stage.startAll();
  await sleep(WARM_UP_MS);

  const results = [];
  let sent = 0;
  function send(kind, parts) {
    const attemptId = nextAttemptId();
    sent += 1;
    const gateway = gateways[sent % GATEWAYS];
    void sendAttempt(gateway, {
      attemptId,
      path: '/stream/2f',
      host: HOST,
      key: KEY,
      deadlineMs: 10_000,
      tokens: [2_000, 300],
      prefix: [...parts, `${sent.toString(16)}:1000`].join(','),
    }).then(seen => {
      results.push({kind, ...seen});
      record(kind, {...seen, events: seen.events.length});
    });
  }
  const timers = [];
  const every = (ms, run) => timers.push(setInterval(run, ms));

  every(SOUND_INTERVAL_MS, () => send('sound', [SHARED]));
  const beganMs = Date.now();
  await sleep(BEFORE_MS);
  const troubleMs = Date.now();
  // Without the disruption the same requests come without the deadly part.
  const parts = calm ? [SHARED] : [SHARED, DEADLY];
  every(DEADLY_INTERVAL_MS, () => send('deadly', parts));
  const judgedFromMs = () =>
    (crashes.slice(0, 5).at(-1) ?? troubleMs) + 2 * STABILITY_MS;
  while (Date.now() < judgedFromMs() + AFTER_MS) await sleep(100);
  const fromMs = judgedFromMs();
  const toMs = Date.now();
  for (const timer of timers) clearInterval(timer);
  await sleep(3_000);

  const sound = results.filter(({kind}) => kind === 'sound');
  const during = (from, to) =>
    sound.filter(({sentMs}) => sentMs >= from && sentMs < to);
  const begun = list => list.filter(({firstMs}) => firstMs !== undefined);
  const before = during(beganMs, troubleMs);
  const after = during(fromMs, toMs);
  const shareBefore = share(begun(before).length, before.length);
  const shareAfter = share(begun(after).length, after.length);
  const enough = Math.min(before.length, after.length) >= LEAST_REQUESTS;
  if (!enough) throw new Error('too few sound requests');
  const byGateway = Object.fromEntries(
    gateways.map(({name}) => {
      const own = after.filter(({gateway}) => gateway === name);
      return [name, `${begun(own).length} of ${own.length}`];
    }),
  );
  const registered = {};
  for (const gateway of gateways) {
    const {endpoints} = await gateway.status();
    registered[gateway.name] = endpoints.length;
  }
  return {
    broken: shareAfter < shareBefore / 2,
    shareBefore,
    shareAfter,
    soundBefore: before.length,
    soundAfter: after.length,
    enginesEnded: crashes.length,
    begunAfterByGateway: byGateway,
    enginesKnownAtEnd: registered,
  };
});
