import assert from 'node:assert/strict';
import {test} from 'node:test';
import {REGRESSIONS} from '../soak/regressions.mjs';
import {runSeed} from '../soak/run_seed.mjs';

const SHORT_RUN_MS = 6_000;

test('a short soak with a fixed seed keeps every promise', async () => {
  const {findings} = await runSeed(1, SHORT_RUN_MS);
  assert.deepEqual(findings, []);
});

test('a short soak of a fleet with relays keeps every promise', async () => {
  const {findings} = await runSeed(2, SHORT_RUN_MS, {gateways: 14});
  assert.deepEqual(findings, []);
});

for (const {seed, durationMs, kinds, cause} of REGRESSIONS) {
  test(`soak seed ${seed} holds: ${cause}`, async () => {
    const {findings} = await runSeed(seed, durationMs, {kinds});
    assert.deepEqual(findings, []);
  });
}
