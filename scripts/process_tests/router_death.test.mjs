import assert from 'node:assert/strict';
import {test} from 'node:test';
import {chat, promptOf} from '../fleet/caller.mjs';
import {fleetFor, waitForFreedMemory} from './mocks.mjs';

const OPTIONS = {key: 'clerk-key', cls: 'lookup', maxTokens: 200};
const STREAMS = 6;

function openStreams(router, onPart) {
  return Array.from({length: STREAMS}, (_, i) =>
    chat(router.caller, {...OPTIONS, prompt: promptOf(2_000, `s${i}`), onPart}),
  );
}

test('a graceful stop cuts no request in flight', async t => {
  const {routers} = await fleetFor(t, {routers: 2});
  let stopping = false;
  const answers = await Promise.all(
    openStreams(routers[0], () => {
      if (stopping) return;
      stopping = true;
      routers[0].kill('SIGTERM');
    }),
  );
  assert.ok(stopping);
  assert.deepEqual(
    answers.map(answer => answer.outcome),
    Array(STREAMS).fill('completed'),
  );
  const exit = await routers[0].exited;
  assert.equal(exit.code, 0);
});

test('a killed router leaves no memory behind on engines', async t => {
  const {routers, engines} = await fleetFor(t, {routers: 3});
  let killed = false;
  await Promise.all(
    openStreams(routers[0], () => {
      if (killed) return;
      killed = true;
      routers[0].kill('SIGKILL');
    }),
  );
  assert.ok(killed);
  await waitForFreedMemory(engines, 15_000);
  const prompt = promptOf(1_000, 'after');
  const next = await chat(routers[1].caller, {...OPTIONS, prompt});
  assert.equal(next.outcome, 'completed');
});

test('a router that resumes after its timeouts ends overdue requests', async t => {
  const {routers, engines} = await fleetFor(t, {
    routers: 2,
    timeoutMs: 1_500,
  });
  const router = routers[0];
  let frozen = false;
  const streams = openStreams(router, () => {
    if (frozen) return;
    frozen = true;
    router.kill('SIGSTOP');
    setTimeout(() => router.kill('SIGCONT'), 3_000);
  });
  const answers = await Promise.all(streams);
  assert.ok(frozen);
  assert.ok(answers.every(answer => answer.outcome !== 'disconnected'));
  assert.ok(answers.some(answer => answer.outcome === 'timed_out'));
  await waitForFreedMemory(engines, 10_000);
  const prompt = promptOf(1_000, 'awake');
  const next = await chat(router.caller, {...OPTIONS, prompt});
  assert.equal(next.outcome, 'completed');
});
