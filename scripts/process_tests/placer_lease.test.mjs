import assert from 'node:assert/strict';
import {test} from 'node:test';
import {control, until} from '../fleet/fleet.mjs';
import {holders, oneHolder, placed, placersFor} from './placer_mocks.mjs';

test('a lease holder frozen past its lease holds nothing when woken', async t => {
  const {placers} = await placersFor(t);
  const first = await oneHolder(placers);
  const others = placers.filter(placer => placer !== first);
  first.kill('SIGSTOP');
  const second = await oneHolder(others);
  first.kill('SIGCONT');
  assert.equal(await oneHolder(placers), second);
});

test('nobody holds the lease in a log outage, and one does after it', async t => {
  const {platform, engines, placers} = await placersFor(t);
  await oneHolder(placers);
  await control(platform.url, {outage: 1});
  await until('no lease', async () => (await holders(placers)).length === 0);
  await control(platform.url, {outage: 0});
  await oneHolder(placers);
  await placed(engines);
});
