/* global setTimeout */
// A faulty engine writes an earlier refusal once more on a kept connection, at
// the point where the next answer is due, which is one to the same request.
import {setTimeout as sleep} from 'node:timers/promises';
import {send} from '../lib-2/client.mjs';
import {configuration, loopback, startGateway} from '../lib-2/deployment.mjs';
import {answer, startEngine} from '../lib-2/engine.mjs';
import {runCase} from '../lib-2/record.mjs';
import {startStore} from '../lib-2/store.mjs';

const ENGINES = ['i-1', 'i-2'];
/** Half of the engines are faulty. */
const FAULTY = 'i-1';
/** Of the answers of a faulty engine, at most so many are spoilt. */
const SPOILT_SHARE = 0.03;
const REQUESTS = 240;
/** Each engine is full when every 40th request reaches it first. */
const FULL_EVERY = 40;
const PAUSE_MS = 25;
const WORK_MS = 20;

const STREAM = {
  'Response-Signature': '3e1b.07',
  'Content-Type': 'text/event-stream',
};
const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

/** A stream that may not be resumed, so it may run once at most. */
function withStream() {
  const {routes, ...rest} = configuration();
  const route = {
    ...routes[0],
    name: 'ask',
    pathPrefix: '/ask/',
    kind: 'streaming',
    timeoutMs: 10_000,
    targetLatencyMs: 300,
    targetGapMs: 250,
    maxAttempts: 2,
  };
  return {...rest, routes: [...routes, route]};
}

await runCase(import.meta.url, async ({note, add, trouble}) => {
  const ip = loopback();
  const store = add(await startStore(ip));
  store.put('keyed.op', 'config', withStream());
  /** Engines that ran each request, in order. */
  const runs = new Map();
  const isFullFor = attempt => Number(attempt.split('-')[1]) % FULL_EVERY === 0;

  function engine(id) {
    const refused = new Set();
    let answered = 0;
    let spoilt = 0;

    function maySpoil() {
      return trouble && id === FAULTY && spoilt + 1 <= answered * SPOILT_SHARE;
    }

    function onRequest({attempt}, socket, place) {
      answered += 1;
      const where = `${id}, request ${place} of connection ${socket.remotePort}`;
      if (isFullFor(attempt) && !refused.has(attempt)) {
        refused.add(attempt);
        note(`${attempt} refused by ${where}`);
        socket.refusal = answer(503, attempt, {'Not-Executed': '1'});
        return socket.write(socket.refusal);
      }
      runs.set(attempt, [...(runs.get(attempt) ?? []), id]);
      if (isFullFor(attempt)) note(`${attempt} runs at ${where}`);
      if (socket.refusal && maySpoil()) {
        spoilt += 1;
        note(`${id} writes the last refusal of this connection once more`);
        socket.write(socket.refusal);
      }
      socket.refusal = undefined;
      setTimeout(
        () => socket.write(answer(200, attempt, STREAM, EVENTS)),
        WORK_MS,
      );
    }

    return startEngine({store, ip, id, service: 'app', slots: 6, onRequest});
  }

  for (const id of ENGINES) add(await engine(id));
  const gateway = add(await startGateway({store}));
  await sleep(1_000);
  const statuses = {};
  const answers = new Map();
  const sent = [];
  for (let i = 1; i <= REQUESTS; i++) {
    const id = `ask-${i}`;
    sent.push(
      send(gateway.address, 'POST', '/ask/1', id, {body: 'a question'}).then(
        ({status}) => {
          answers.set(id, status);
          statuses[status] = (statuses[status] ?? 0) + 1;
        },
      ),
    );
    await sleep(PAUSE_MS);
  }
  await Promise.all(sent);
  note(`${REQUESTS} sent, answers by status: ${JSON.stringify(statuses)}`);
  const faults = [];
  for (const [attempt, ids] of runs) {
    if (ids.length > 1) {
      faults.push(`TWICE: ${attempt} ran at ${ids.join(', then at ')}`);
    }
    if ([408, 421, 429, 503].includes(answers.get(attempt))) {
      faults.push(
        `REFUSED: ${attempt} got ${answers.get(attempt)} and has run`,
      );
    }
  }
  return faults;
});
