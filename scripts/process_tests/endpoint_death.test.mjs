import assert from 'node:assert/strict';
import {test} from 'node:test';
import {chat, promptOf} from '../fleet/caller.mjs';
import {control, until} from '../fleet/fleet.mjs';
import {engineMemoryFreed, fleetFor} from './mocks.mjs';

const OPTIONS = {key: 'clerk-key', cls: 'lookup', maxTokens: 120};

test('an engine killed during a stream costs no part and no repeat', async t => {
  const {engines, routers} = await fleetFor(t, {engines: 2, routers: 1});
  const prompt = promptOf(1_000, 'census');
  const whole = await chat(routers[0].caller, {...OPTIONS, prompt});
  assert.equal(whole.outcome, 'completed');
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
  assert.equal(resumed.text, whole.text);
});

test('a frozen engine is left for another one within the timeout', async t => {
  const {engines, routers} = await fleetFor(t, {
    engines: 2,
    routers: 1,
    timeoutMs: 8_000,
  });
  const prompt = promptOf(1_000, 'dal');
  const whole = await chat(routers[0].caller, {...OPTIONS, prompt});
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
  assert.equal(answer.text, whole.text);
  assert.ok(answer.totalMs < 8_000);
  frozen.kill('SIGCONT');
  await engineMemoryFreed(engines, 5_000);
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
  // The timeout runs from admission, so the router's own account is judged;
  // the caller's total includes its connection and its process's start.
  await until('the end is logged', () => routers[0].logged('WL1002')[0]);
  const [ended] = routers[0].logged('WL1002');
  assert.ok(ended.totalMs <= 1_500, `${ended.totalMs} ms`);
});

test('an answer that belongs to another request is never delivered', async t => {
  const {engines, routers} = await fleetFor(t, {engines: 2, routers: 1});
  const ask = seed =>
    chat(routers[0].caller, {...OPTIONS, prompt: promptOf(600, seed)});
  const seeds = ['a', 'b', 'c', 'd', 'e', 'f'];
  const own = await Promise.all(seeds.map(ask));
  await control(engines[0].url, {crossAnswers: 1});
  const again = await Promise.all(seeds.map(ask));
  for (const [i, answer] of again.entries()) {
    if (answer.outcome !== 'completed') continue;
    assert.equal(answer.text, own[i].text);
  }
  const broken = routers[0].logged('WL1003');
  assert.ok(broken.some(line => line.endpoint === 'engine-1'));
});
