// Guards against clients that keep to no limit: one gateway ran out of memory
// or descriptors, and the requests of its other callers ended with it.
import assert from 'node:assert/strict';
import {before, test} from 'node:test';
import {
  announceTooMuch,
  postBody,
  readNothing,
  sendEndlessHead,
  sendSingleBytes,
  staySilent,
  stopShort,
} from '../fleet/crowd.mjs';
import {
  buildBundle,
  crowdOf,
  enlargeAnswers,
  LIMITS,
  MB,
  playCrowd,
  startGateway,
} from './fixture.mjs';

const BODY_BYTES = 3.9 * MB;
const LARGE_ANSWERS = enlargeAnswers(12 * MB);

before(buildBundle);

const LARGE = socket => stopShort(socket, BODY_BYTES);
const SINGLE = socket => sendSingleBytes(socket, 20_000);
const ANNOUNCED = socket => announceTooMuch(socket, 8 * MB);
const UNANNOUNCED = socket => stopShort(socket, 8 * MB);
const HEADS = socket => sendEndlessHead(socket, 100_000);

for (const [what, parts, prepare] of [
  ['large chunks that stop short', crowdOf(70, LARGE)],
  ['chunks of one byte that stop short', crowdOf(70, SINGLE)],
  ['announced bodies over the limit', crowdOf(70, ANNOUNCED)],
  ['unannounced bodies over the limit', crowdOf(70, UNANNOUNCED)],
  ['heads without end', crowdOf(200, HEADS)],
  ['silent connections', crowdOf(200, staySilent)],
  ['readers of nothing', crowdOf(30, readNothing), LARGE_ANSWERS],
  [
    'all of these at once',
    [
      ...crowdOf(40, LARGE),
      ...crowdOf(20, SINGLE),
      ...crowdOf(20, ANNOUNCED),
      ...crowdOf(20, UNANNOUNCED),
      ...crowdOf(40, HEADS),
      ...crowdOf(60, staySilent),
      ...crowdOf(10, readNothing),
    ],
    LARGE_ANSWERS,
  ],
]) {
  test(`LOST: ${what} leave a gateway in its bounds and serving`, async t => {
    await playCrowd(t, {parts, prepare});
  });
}

test('a request of 4 MiB is served in calm on the smallest VM', async t => {
  const {gateway} = await startGateway(t);
  const status = await postBody(gateway.started.caller, LIMITS.maxBodyBytes);
  assert.equal(status, 200);
});
