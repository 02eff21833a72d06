// A gateway is killed while an engine that asked it for a pause holds memory
// for one of its prompts.
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
  STREAM_ROUTE,
  ZONES,
} from '../lib/case.mjs';
import {nextAttemptId, sendAttempt} from '../lib/client.mjs';
import {startEngine} from '../lib/engine.mjs';

const GATEWAYS = 3;
const ENGINES = 2;
/** More than one engine's memory of 315,000 tokens. */
const LONG_PROMPT = [400_000, 400];
/** Two engines read it for this long, by the profile of the site. */
const READING_MS = 8_500;
/** What the busy engine asks for. */
const PAUSE_S = 20;
/** `releaseMs` of the site. */
const RELEASE_MS = 4_000;
const WARM_UP_MS = 4_000;
const BUSY_AFTER_MS = 1_500;
const KILL_AFTER_MS = 500;
const WATCHED_MS = 16_000;
const EVENTS = 8;

await runCase(import.meta.dirname, {gateways: GATEWAYS}, async stage => {
  const {store, record, gateways} = stage;
  const [victim] = gateways;
  const engines = [];
  /** By ticket: engine, and the end of the time for which it is held. */
  const held = new Map();
  /** The long prompt on its first engine. */
  let long;
  let busy = false;
  let askedMs;

  function order(engine, {operation, id, tokenCount, holdMs}, res) {
    record('order', {engine: engine.id, operation, id, tokenCount, holdMs});
    if (operation === 'reserve') {
      held.set(id, {engine, untilMs: Date.now() + holdMs});
    } else held.delete(id);
    const body = JSON.stringify({availableCapacity: 0});
    res.writeHead(200, {'content-type': 'application/json'});
    res.end(body);
  }

  function before(engine, arrival, res) {
    const {attemptId, headers} = arrival;
    const helpers = headers['helper-instances'];
    if (helpers !== undefined) {
      const ticket = helpers.split('/')[1];
      long = {engine, ticket, endedMs: undefined};
      record('long_prompt', {engine: engine.id, helpers});
      res.on('close', () => {
        long.endedMs = Date.now();
        record('long_prompt_ended', {engine: engine.id});
      });
      void answerLater(attemptId, res);
      return true;
    }
    if (!busy || engine === long.engine) return false;
    askedMs ??= Date.now();
    record('asked_for_pause', {engine: engine.id, seconds: PAUSE_S});
    res.writeHead(503, {
      'attempt-id': attemptId,
      'not-executed': '1',
      'retry-after': `${PAUSE_S}`,
    });
    res.end();
    return true;
  }

  async function answerLater(attemptId, res) {
    await sleep(READING_MS);
    if (res.destroyed) return;
    res.writeHead(200, {
      'attempt-id': attemptId,
      'response-signature': `sig.${attemptId}`,
      'content-type': 'text/event-stream',
    });
    for (let event = 1; event <= EVENTS; event++) {
      res.write(`id: ${event}\ndata: ${attemptId} ${event}\n\n`);
      await sleep(50);
    }
    res.end();
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
      order,
    });
    engines.push(stage.own(engine));
  }
  const run = {
    ...STREAM_ROUTE,
    name: 'r-run',
    pathPrefix: '/run/',
    timeoutMs: 15_000,
    targetLatencyMs: 3_000,
    targetGapMs: 1_000,
  };
  store.configure(
    configuration({routes: [STREAM_ROUTE, run], services: [MODEL_SERVICE]}),
  );
  await stage.startAll();
  await sleep(WARM_UP_MS);

  function send(path, deadlineMs, tokens) {
    void sendAttempt(victim, {
      attemptId: nextAttemptId(),
      path,
      host: HOST,
      key: KEY,
      deadlineMs,
      tokens,
      prefix: `aa01:40,cc:${tokens[0] - 40}`,
    }).then(seen => record('request', {...seen, events: seen.events.length}));
  }

  send('/run/2f', 15_000, LONG_PROMPT);
  for (let waited = 0; !long; waited += 20) {
    if (waited > 3_000) throw new Error('the long prompt was not sent');
    await sleep(20);
  }
  await sleep(BUSY_AFTER_MS);
  busy = true;
  const timer = setInterval(() => send('/run/2f', 15_000, [2_000, 200]), 100);
  for (let waited = 0; askedMs === undefined; waited += 20) {
    if (waited > 4_000) throw new Error('no request reached the busy engine');
    await sleep(20);
  }
  await sleep(KILL_AFTER_MS);
  clearInterval(timer);
  if (!calm) {
    victim.signal('SIGKILL');
    record('gateway_killed', {});
    setTimeout(() => victim.start(), 1_000);
  }
  let heldMs = 0;
  const endMs = Date.now() + WATCHED_MS;
  while (Date.now() < endMs) {
    const hold = held.get(long.ticket);
    const isHeld = hold !== undefined && hold.untilMs > Date.now();
    if (isHeld && long.endedMs !== undefined) {
      heldMs = Date.now() - long.endedMs;
    }
    await sleep(20);
  }
  return {
    broken: heldMs > RELEASE_MS,
    heldAfterTheEndMs: heldMs,
    allowedMs: RELEASE_MS,
  };
});
