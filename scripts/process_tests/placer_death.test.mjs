import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  LEASE_DURATION_MS,
  placersFor,
  waitForPlacement,
  waitForSingleHolder,
} from './placer_mocks.mjs';

test('a killed lease holder is replaced and the placement is reached', async t => {
  const {engines, placers} = await placersFor(t);
  const first = await waitForSingleHolder(placers);
  first.kill('SIGKILL');
  await first.exited;
  await waitForSingleHolder(placers.filter(placer => placer !== first));
  await waitForPlacement(engines);
});

test('a stopped lease holder is replaced sooner than its lease ends', async t => {
  const {placers} = await placersFor(t);
  const first = await waitForSingleHolder(placers);
  first.kill('SIGTERM');
  assert.equal((await first.exited).code, 0);
  const stoppedMs = performance.now();
  await waitForSingleHolder(placers.filter(placer => placer !== first));
  const tookMs = performance.now() - stoppedMs;
  assert.ok(tookMs < LEASE_DURATION_MS * 0.75, `took ${tookMs} ms`);
});
