// Plays requests with a part of prompts that ends engines, beside sound ones.
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
  STABILITY_MS,
  STREAM_ROUTE,
  ZONES,
} from './case.mjs';
import {nextAttemptId, sendAttempt} from './client.mjs';
import {startEngine} from './engine.mjs';

const GATEWAYS = 7;
const ENGINES = 14;
/** Part that ends each engine that begins to write an answer on it. */
const DEADLY = 'dead01:800';
const SOUND_INTERVAL_MS = 100;
/** An engine that ended is back after this long. */
const BACK_AFTER_MS = 3_000;
const WARM_UP_MS = 4_000;
const BEFORE_MS = 5_000;
/** The rule lets this many through. */
const ALLOWED = 3;

/**
 * Plays a case of the rule on parts that crash engines.
 * @param options.sharedParts parts of all requests, before the deadly one
 * @param options.promptTokens prompt tokens of a request
 * @param options.atOnce deadly requests at the start
 * @param options.intervalMs pause between two later ones
 * @param options.troubleMs time for which they come
 */
export function playDeadlyParts(folder, options) {
  const {sharedParts, promptTokens, atOnce, intervalMs, troubleMs} = options;

  return runCase(folder, {gateways: GATEWAYS}, async stage => {
    const {store, record, gateways} = stage;
    const crashes = [];
    const deadlyArrivals = [];

    function before(engine, {attemptId, headers, atMs}) {
      if (headers['prompt-prefix'].includes(DEADLY)) {
        deadlyArrivals.push(atMs);
        record('deadly_arrived', {engine: engine.id, attemptId});
      }
      return false;
    }

    function endIfDeadly(engine, {attemptId, headers}) {
      if (!headers['prompt-prefix'].includes(DEADLY)) return false;
      if (!engine.crash()) return true;
      crashes.push(Date.now());
      record('engine_ended', {engine: engine.id, attemptId});
      setTimeout(() => void engine.start(), BACK_AFTER_MS);
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
        before,
        beforeAnswer: endIfDeadly,
      });
      stage.own(engine);
    }
    store.configure(
      configuration({routes: [STREAM_ROUTE], services: [MODEL_SERVICE]}),
    );
    await stage.startAll();
    await sleep(WARM_UP_MS);

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
        tokens: [promptTokens, 300],
        prefix: [...parts, `${sent.toString(16)}:1000`].join(','),
      }).then(seen => record(kind, {...seen, events: seen.events.length}));
    }
    const timers = [];
    const every = (ms, run) => timers.push(setInterval(run, ms));

    every(SOUND_INTERVAL_MS, () => send('sound', sharedParts));
    await sleep(BEFORE_MS);
    // Without the disruption the same requests come without the deadly part.
    const parts = calm ? sharedParts : [...sharedParts, DEADLY];
    for (let i = 0; i < atOnce; i++) send('deadly', parts);
    every(intervalMs, () => send('deadly', parts));
    await sleep(troubleMs);
    for (const timer of timers) clearInterval(timer);
    await sleep(2_000);

    const fifth = crashes[4];
    const late = deadlyArrivals.filter(
      atMs => fifth !== undefined && atMs > fifth + STABILITY_MS,
    );
    return {
      broken: late.length > ALLOWED,
      enginesEnded: crashes.length,
      deadlyArrivals: deadlyArrivals.length,
      arrivalsTooLate: late.length,
      allowed: ALLOWED,
    };
  });
}
