import assert from 'node:assert/strict';
import {test} from 'node:test';
import {chat, promptOf} from '../fleet/caller.mjs';
import {sendControl, until} from '../fleet/fleet.mjs';
import {fleetFor, waitForFreedMemory} from './mocks.mjs';

const OPTIONS = {key: 'clerk-key', cls: 'lookup', maxTokens: 120};

test('a stream loses and repeats no part when its engine is killed', async t => {
  const {engines, routers} = await fleetFor(t, {engines: 2, routers: 1});
  const prompt = promptOf(1_000, 'census');
  const uninterrupted = await chat(routers[0].caller, {...OPTIONS, prompt});
  assert.equal(uninterrupted.outcome, 'completed');
  let killed = false;
  const resumed = await chat(routers[0].caller, {
    ...OPTIONS,
    prompt,
    onPart: async answer => {
      if (killed || answer.parts < 5) return;
      killed = true;
      for (const engine of engines) {
        const report = await (await fetch(`${engine.url}/wl/load`)).json();
        if (report.sessions.length > 0) engine.kill('SIGKILL');
      }
    },
  });
  assert.ok(killed);
  assert.equal(resumed.outcome, 'completed');
  assert.equal(resumed.text, uninterrupted.text);
});

test('a stream moves from a frozen engine to another one within its timeout', async t => {
  const {engines, routers} = await fleetFor(t, {
    engines: 2,
    routers: 1,
    timeoutMs: 8_000,
  });
  const prompt = promptOf(1_000, 'dal');
  const uninterrupted = await chat(routers[0].caller, {...OPTIONS, prompt});
  let frozen;
  const answer = await chat(routers[0].caller, {
    ...OPTIONS,
    prompt,
    onPart: async part => {
      if (frozen || part.parts < 5) return;
      frozen = engines[0];
      for (const engine of engines) {
        const report = await (await fetch(`${engine.url}/wl/load`)).json();
        if (report.sessions.length > 0) frozen = engine;
      }
      frozen.kill('SIGSTOP');
    },
  });
  assert.equal(answer.text, uninterrupted.text);
  assert.ok(answer.totalMs < 8_000);
  frozen.kill('SIGCONT');
  await waitForFreedMemory(engines, 5_000);
});

test('a request that no endpoint can serve fails within its timeout', async t => {
  const {engines, routers} = await fleetFor(t, {
    engines: 1,
    routers: 1,
    timeoutMs: 1_500,
  });
  engines[0].kill('SIGKILL');
  const prompt = promptOf(1_000, 'roster');
  const answer = await chat(routers[0].caller, {...OPTIONS, prompt});
  assert.notEqual(answer.outcome, 'completed');
  // The timeout runs from admission, so the total in the router's log is
  // checked: the caller's also includes connection setup and process start.
  await until('the end is logged', () => routers[0].logged('WL1002')[0]);
  const [ended] = routers[0].logged('WL1002');
  assert.ok(ended.totalMs <= 1_500, `${ended.totalMs} ms`);
});

test('an answer that belongs to another request is never delivered', async t => {
  const {engines, routers} = await fleetFor(t, {engines: 2, routers: 1});
  const send = seed =>
    chat(routers[0].caller, {...OPTIONS, prompt: promptOf(600, seed)});
  const seeds = ['a', 'b', 'c', 'd', 'e', 'f'];
  const expected = await Promise.all(seeds.map(send));
  await sendControl(engines[0].url, {crossAnswers: 1});
  const again = await Promise.all(seeds.map(send));
  for (const [i, answer] of again.entries()) {
    if (answer.outcome !== 'completed') continue;
    assert.equal(answer.text, expected[i].text);
  }
  const failures = routers[0].logged('WL1003');
  assert.ok(failures.some(line => line.endpoint === 'engine-1'));
});
