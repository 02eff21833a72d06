import assert from 'node:assert/strict';
import {test} from 'node:test';
import {REGRESSIONS} from '../soak/regressions.mjs';
import {runSeed} from '../soak/run_seed.mjs';

const SHORT_RUN_MS = 6_000;

test('a short soak with a fixed seed violates no invariant', async () => {
  const {violations} = await runSeed(1, SHORT_RUN_MS);
  assert.deepEqual(violations, []);
});

test('a short soak of a fleet with gossip relays violates no invariant', async () => {
  const {violations} = await runSeed(2, SHORT_RUN_MS, {gateways: 14});
  assert.deepEqual(violations, []);
});

for (const {seed, durationMs, kinds, cause} of REGRESSIONS) {
  test(`soak regression, seed ${seed}: ${cause}`, async () => {
    const {violations} = await runSeed(seed, durationMs, {kinds});
    assert.deepEqual(violations, []);
  });
}
