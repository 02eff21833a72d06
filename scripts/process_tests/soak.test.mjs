import assert from 'node:assert/strict';
import {test} from 'node:test';
import {REGRESSIONS} from '../soak/regressions.mjs';
import {runSeed} from '../soak/run_seed.mjs';

const SHORT_RUN_MS = 6_000;
const LARGE_FLEET = 14;

test('a short soak with a fixed seed keeps every promise', async () => {
  const {findings} = await runSeed(1, SHORT_RUN_MS);
  assert.deepEqual(findings, []);
});

test('a short soak of a fleet with relays keeps every promise', async () => {
  const {findings} = await runSeed(2, SHORT_RUN_MS, LARGE_FLEET);
  assert.deepEqual(findings, []);
});

for (const {seed, durationMs, cause} of REGRESSIONS) {
  test(`soak seed ${seed} holds: ${cause}`, async () => {
    const {findings} = await runSeed(seed, durationMs);
    assert.deepEqual(findings, []);
  });
}
