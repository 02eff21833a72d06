import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startGatewayFleet} from '../fleet/gateway_fleet.mjs';

const CALL = {path: '/write/1', tokens: undefined, deadlineMs: 1_500};
const READ = {...CALL, path: '/read/1', method: 'GET'};

async function fleetFor(t, options) {
  const fleet = await startGatewayFleet(options);
  t.after(() => fleet.stop());
  return fleet;
}

/** Every piece once, in order, to the end. */
function assertWhole(answer) {
  assert.equal(answer.status, 200);
  assert.ok(answer.complete && answer.ownBytes && answer.signed);
  assert.deepEqual(
    answer.pieces,
    answer.pieces.map((_, i) => i + 1),
  );
}

test('streams, writes and reads reach the caller whole', async t => {
  const {gateways, platform, send} = await fleetFor(t);
  const stream = await send(gateways[0]);
  assertWhole(stream);
  assert.equal(stream.pieces.length, 8);
  assertWhole(await send(gateways[1], CALL));
  assertWhole(await send(gateways[0], READ));
  const runs = platform.services.flatMap(service => service.runs);
  assert.equal(runs.length, 2);
});

test('a stream survives the crash of its engine', async t => {
  const {gateways, platform, send} = await fleetFor(t);
  let crashed;
  const answer = await send(gateways[0], {
    tokens: [2_000, 3_000],
    onPiece: piece => {
      if (piece !== 3 || crashed) return;
      crashed = platform.engines.find(engine => engine.runs.length > 0);
      void crashed.crash();
    },
  });
  assert.ok(crashed);
  assertWhole(answer);
});

test('a write whose answer is lost runs once and is not called unrun', async t => {
  const {gateways, platform, send} = await fleetFor(t);
  for (const service of platform.services) service.faults.hang = 1;
  const answer = await send(gateways[0], CALL);
  assert.ok(![200, 429, 503].includes(answer.status));
  const runs = platform.services.flatMap(service => service.runs);
  assert.equal(runs.length, 1);
});

test('spare, cut and endless answers never reach a caller', async t => {
  const {gateways, platform, send} = await fleetFor(t);
  for (const service of platform.services) {
    Object.assign(service.faults, {extra: 0.3, cut: 0.2, unframed: 0.2});
  }
  const answers = await Promise.all(
    Array.from({length: 80}, async (_, i) => {
      await sleep(i * 12);
      return send(gateways[i % 2], i % 3 === 0 ? READ : CALL);
    }),
  );
  for (const answer of answers) {
    if (answer.status !== 200) continue;
    assert.ok(answer.complete && answer.ownBytes && answer.signed);
  }
  assert.ok(answers.filter(({status}) => status === 200).length > 40);
  const runs = platform.services.flatMap(service => service.runs);
  const writes = answers.length - Math.ceil(answers.length / 3);
  assert.ok(runs.length >= writes);
});

test('a prompt over one engine runs on several and frees its memory', async t => {
  const {gateways, platform, send} = await fleetFor(t);
  const answer = await send(gateways[0], {
    path: '/run/1',
    tokens: [220_000, 400],
    deadlineMs: 15_000,
  });
  assertWhole(answer);
  await sleep(300);
  const held = platform.engines.flatMap(engine => engine.tickets.held());
  assert.deepEqual(held, []);
});

test('memory that a killed gateway set aside is free again in time', async t => {
  const {gateways, platform, send} = await fleetFor(t);
  const answer = send(gateways[0], {
    path: '/run/1',
    tokens: [260_000, 4_000],
    deadlineMs: 15_000,
  });
  const held = () => platform.engines.flatMap(e => e.tickets.held());
  while (held().length === 0) await sleep(5);
  gateways[0].kill('SIGKILL');
  await answer;
  await sleep(4_000);
  assert.deepEqual(held(), []);
});

test('a leaving engine gets nothing new on any gateway', async t => {
  const {gateways, platform, send} = await fleetFor(t);
  const leaving = platform.engines[0];
  leaving.drain();
  await sleep(1_500);
  const before = leaving.runs.length;
  await Promise.all(Array.from({length: 16}, (_, i) => send(gateways[i % 2])));
  assert.equal(leaving.runs.length, before);
});

test('a new configuration is in force on every gateway', async t => {
  const {gateways, platform, send} = await fleetFor(t);
  platform.publish({tenants: [{name: 'clerks', apiKeys: ['key-2']}]});
  await sleep(1_500);
  for (const gateway of gateways) {
    assert.equal((await send(gateway)).status, 401);
    assertWhole(await send(gateway, {key: 'key-2'}));
  }
});

test('a gateway that starts without the store copies from a peer', async t => {
  const {gateways, platform, send, start, ready} = await fleetFor(t);
  platform.store.faults.mode = 'busy';
  gateways[1].kill('SIGKILL');
  await gateways[1].exited;
  const restarted = await start(1);
  await ready(restarted);
  assertWhole(await send(restarted));
});

test('a graceful stop cuts no answer and ends with 0', async t => {
  const {gateways, send} = await fleetFor(t);
  let stopping = false;
  const answers = await Promise.all(
    Array.from({length: 6}, () =>
      send(gateways[0], {
        tokens: [2_000, 1_500],
        onPiece: () => {
          if (stopping) return;
          stopping = true;
          gateways[0].kill('SIGTERM');
        },
      }),
    ),
  );
  answers.forEach(assertWhole);
  assert.equal((await gateways[0].exited).code, 0);
});

test('a gateway that was stopped for seconds serves again', async t => {
  const {gateways, send, ready} = await fleetFor(t);
  gateways[0].kill('SIGSTOP');
  await sleep(3_000);
  gateways[0].kill('SIGCONT');
  await ready(gateways[0]);
  assertWhole(await send(gateways[0]));
});

test('SIGHUP changes nothing for callers', async t => {
  const {gateways, send} = await fleetFor(t, {gateways: 1});
  const answer = send(gateways[0], {tokens: [2_000, 1_500]});
  await sleep(200);
  gateways[0].kill('SIGHUP');
  assertWhole(await answer);
  assert.ok(gateways[0].running());
});

/** Requests on engines, as a gateway believes. */
async function inFlight({status}, gateway) {
  const {endpoints} = await status(gateway);
  return endpoints.reduce((sum, endpoint) => sum + endpoint.inFlight, 0);
}

async function becomes(wanted, read, withinMs) {
  const dueMs = Date.now() + withinMs;
  while ((await read()) !== wanted) {
    assert.ok(Date.now() < dueMs, `not ${wanted} within ${withinMs} ms`);
    await sleep(20);
  }
}

// Changes of work go through one gateway in a fleet of this size; beats, which
// tell the same, come each second only.
test('gateways of a large fleet know of work, also when the relay dies', async t => {
  const fleet = await fleetFor(t, {gateways: 14});
  const {gateways, send} = fleet;
  // Relay of the sender's failure domain: every third gateway is in it.
  const others = gateways.filter(({started}) => {
    return !started.peers.startsWith('127.0.0.8:');
  });
  const [relay] = gateways.filter(gateway => !others.includes(gateway));
  const [sender, observer] = others;
  await becomes(
    13,
    async () =>
      (await fleet.status(observer)).members.filter(m => m.alive).length,
    5_000,
  );
  const long = {tokens: [2_000, 8_000], deadlineMs: 20_000};
  const first = send(sender, long);
  await becomes(1, () => inFlight(fleet, observer), 900);
  relay.kill('SIGKILL');
  await relay.exited;
  const second = send(sender, long);
  await becomes(2, () => inFlight(fleet, observer), 2_500);
  assertWhole(await first);
  assertWhole(await second);
  await becomes(0, () => inFlight(fleet, observer), 2_500);
});

// The bundle holds only parts of some libraries, and code compiled before.
test('the bundle that is deployed serves like the modules', async t => {
  execFileSync('bash', ['scripts/build_target.sh']);
  const {gateways, send} = await fleetFor(t, {
    bin: 'target/run_bundle.mjs',
  });
  assertWhole(await send(gateways[0]));
  assertWhole(await send(gateways[1], CALL));
  const long = {path: '/run/1', tokens: [220_000, 400], deadlineMs: 15_000};
  assertWhole(await send(gateways[0], long));
});
