/* global setTimeout */
// Another writer leaves an entry among those of the engines whose key holds
// bytes that can't be read. It lapses after three heartbeat intervals.
import {setTimeout as sleep} from 'node:timers/promises';
import {send} from '../lib-2/client.mjs';
import {
  configuration,
  freePort,
  loopback,
  startGateway,
} from '../lib-2/deployment.mjs';
import {answer, startEngine} from '../lib-2/engine.mjs';
import {runCase} from '../lib-2/record.mjs';
import {startStore} from '../lib-2/store.mjs';

const WORK_MS = 60;
const REQUESTS = 500;
const PAUSE_MS = 20;
const ENTRY_AFTER_MS = 2_000;
const HEARTBEAT_MS = 1_200;
const ODD_KEY = 'i-\ufffd\ufffd';
/** DENIED: more than 5 + one in 500 of all requests. */
const MAX_DENIED = 5 + REQUESTS / 500;

await runCase(import.meta.url, async ({note, add, trouble}) => {
  const ip = loopback();
  const store = add(await startStore(ip));
  store.put('keyed.op', 'config', configuration());
  const onRequest = ({attempt}, socket) => {
    const whole = answer(200, attempt, {'Response-Signature': '3e1b.07'}, 'ok');
    setTimeout(() => socket.write(whole), WORK_MS);
  };
  for (const id of ['i-1', 'i-2', 'i-3']) {
    add(
      await startEngine({store, ip, id, service: 'app', slots: 6, onRequest}),
    );
  }
  const gateway = add(await startGateway({store}));
  await sleep(1_000);
  if (trouble) {
    const address = `${ip}:${await freePort(ip)}`;
    setTimeout(() => {
      note('another writer leaves its entry');
      store.put('keyed.servers', ODD_KEY, {
        service: 'app',
        address,
        zone: 'zone-a',
        version: 'v1',
        slots: 6,
        state: 'ready',
        coldRemainingMs: 0,
        sequence: 1,
        born: Date.now(),
      });
    }, ENTRY_AFTER_MS);
    setTimeout(
      () => store.put('keyed.servers', ODD_KEY, ''),
      ENTRY_AFTER_MS + 3 * HEARTBEAT_MS,
    );
  }
  const statuses = {};
  const sent = [];
  for (let i = 1; i <= REQUESTS; i++) {
    const write = i % 2 === 0;
    const [method, path] = write ? ['POST', '/write/1'] : ['GET', '/read/1'];
    const body = write ? 'order' : '';
    sent.push(
      send(gateway.address, method, path, `r-${i}`, {body}).then(({status}) => {
        const key = `${method} ${status}`;
        statuses[key] = (statuses[key] ?? 0) + 1;
      }),
    );
    await sleep(PAUSE_MS);
  }
  await Promise.all(sent);
  note(`${REQUESTS} sent, by status: ${JSON.stringify(statuses)}`);
  const denied = (statuses['POST 400'] ?? 0) + (statuses['GET 400'] ?? 0);
  if (denied <= MAX_DENIED) return [];
  return [`DENIED: ${denied} proper requests got 400, ${MAX_DENIED} allowed`];
});
