import assert from 'node:assert/strict';
import {test} from 'node:test';
import {sendControl, until} from '../fleet/fleet.mjs';
import {
  leaseHolders,
  placersFor,
  waitForPlacement,
  waitForSingleHolder,
} from './placer_mocks.mjs';

test('a lease holder frozen past its lease does not hold it when it resumes', async t => {
  const {placers} = await placersFor(t);
  const first = await waitForSingleHolder(placers);
  const others = placers.filter(placer => placer !== first);
  first.kill('SIGSTOP');
  const second = await waitForSingleHolder(others);
  first.kill('SIGCONT');
  assert.equal(await waitForSingleHolder(placers), second);
});

test('no placer holds the lease in a log outage, and one does after it', async t => {
  const {platform, engines, placers} = await placersFor(t);
  await waitForSingleHolder(placers);
  await sendControl(platform.url, {outage: 1});
  await until(
    'no lease',
    async () => (await leaseHolders(placers)).length === 0,
  );
  await sendControl(platform.url, {outage: 0});
  await waitForSingleHolder(placers);
  await waitForPlacement(engines);
});
