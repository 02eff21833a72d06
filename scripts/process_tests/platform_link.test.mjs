import assert from 'node:assert/strict';
import {test} from 'node:test';
import {callService, chat, promptOf, uuidV7} from '../fleet/caller.mjs';
import {until} from '../fleet/fleet.mjs';
import {startTcpProxy} from '../fleet/tcp_proxy.mjs';
import {executionsOf, fleetFor} from './mocks.mjs';

const LOOKUP = {key: 'clerk-key', cls: 'lookup', maxTokens: 8};
const DELAY_MS = 150;

function write(router, idempotencyKey) {
  const options = {key: 'clerk-key', cls: 'register', idempotencyKey};
  return callService(router.caller, 'register', 'write', options);
}

async function fleetBehindProxy(t) {
  let proxy;
  const fleet = await fleetFor(t, {
    routers: 2,
    timeoutMs: 4_000,
    platformUrlOf: async platform => {
      proxy = await startTcpProxy(platform.url.slice('http://'.length));
      return `http://${proxy.address}`;
    },
  });
  t.after(() => proxy.close());
  return {...fleet, proxy};
}

test('routers cut off from the log keep routing and refuse writes as not run', async t => {
  const {routers, service, proxy} = await fleetBehindProxy(t);
  proxy.setCut(true);
  const key = uuidV7();
  const refused = await write(routers[0], key);
  assert.equal(refused.outcome, 'rejected_not_run');
  const prompt = promptOf(1_000, 'cut');
  const answer = await chat(routers[1].caller, {...LOOKUP, prompt});
  assert.equal(answer.outcome, 'completed');
  proxy.setCut(false);
  await until('a write with the key runs', async () => {
    const again = await write(routers[1], key);
    return again.outcome === 'completed';
  });
  assert.equal(await executionsOf(service, key), 1);
});

test('a slow link to the log delays writes but repeats none', async t => {
  const {routers, service, proxy} = await fleetBehindProxy(t);
  proxy.setDelay(DELAY_MS);
  const keys = Array.from({length: 5}, () => uuidV7());
  const answers = await Promise.all(
    keys.flatMap(key => routers.map(router => write(router, key))),
  );
  const done = answers.filter(answer => answer.outcome === 'completed');
  assert.equal(done.length, keys.length);
  for (const key of keys) assert.equal(await executionsOf(service, key), 1);
});
