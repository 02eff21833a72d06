// Guards against limits that meet requests within the limits of the pages, and
// against clients that keep a planned stop from its end.
import assert from 'node:assert/strict';
import {before, test} from 'node:test';
import {
  pipelineUnread,
  postShortLines,
  postSingleBytes,
  readPipelined,
  startCrowd,
  stopBehindShortLines,
  stopShort,
} from '../fleet/crowd.mjs';
import {
  assertServes,
  buildBundle,
  crowdOf,
  LIMITS,
  MB,
  startGateway,
} from './fixture.mjs';

before(buildBundle);

for (const [what, ask] of [
  ['a body in chunks of one byte', address => postSingleBytes(address, MB)],
  [
    'a head of short lines',
    address => postShortLines(address, LIMITS.maxHeaderBytes),
  ],
]) {
  test(`${what} is served in calm on the smallest VM`, async t => {
    const {gateway} = await startGateway(t);
    assert.equal(await ask(gateway.started.caller), 200);
  });
}

test('requests that are sent at once on a connection are all served', async t => {
  const {gateway} = await startGateway(t);
  const statuses = await readPipelined(gateway.started.caller, 50);
  assert.deepEqual(statuses, Array(50).fill(200));
});

test('a planned stop beside uncontrolled clients ends', async t => {
  const fleet = await startGateway(t);
  const {gateway} = fleet;
  const crowd = await startCrowd(gateway.started.caller, [
    ...crowdOf(20, (s, i) => pipelineUnread(s, i, 400)),
    ...crowdOf(20, s => stopShort(s, MB)),
    ...crowdOf(20, s => stopBehindShortLines(s, 16_000)),
  ]);
  t.after(() => crowd.leave());
  await assertServes(fleet);
  gateway.kill('SIGTERM');
  const {code} = await gateway.exited;
  assert.equal(code, 0);
});
