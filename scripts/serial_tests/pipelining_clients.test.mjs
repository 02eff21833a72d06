// Guards against clients that send many requests at once on a connection: the
// requests and the answers that waited behind an unread one were in no budget,
// and what a client that left had sent stayed in the budget for good.
import assert from 'node:assert/strict';
import {before, test} from 'node:test';
import {
  leaveBehindBody,
  pipelineAndLeave,
  pipelinePage,
  pipelineRead,
  pipelineUnread,
  postBody,
} from '../fleet/crowd.mjs';
import {
  assertServes,
  buildBundle,
  crowdOf,
  HALF_HEAP,
  enlargeAnswers,
  playCrowd,
} from './fixture.mjs';

const KB = 1_024;
const CLIENTS = 300;
const LIMITS = {
  callers: 320,
  flags: HALF_HEAP,
  endpointConnections: 100,
};
/** 60 KB, which arrive in a read or two. */
const SHORT_READS = 400;
/** With answers of 500 KB, 10 MB a client. */
const READS = 20;
const LARGE_ANSWERS = enlargeAnswers(500 * KB);
/** Of all clients together ten times the budget of 31 MB. */
const BEHIND_BYTES = 1_000 * KB;
/** A page of the metrics has some 50 KB. */
const PAGES = 800;

before(buildBundle);

const SHORT = (socket, i) => pipelineUnread(socket, i, SHORT_READS);
const UNREAD = (socket, i) => pipelineUnread(socket, i, READS);
const READ = (socket, i) => pipelineRead(socket, i, READS);
const LEAVE = (socket, i) => pipelineAndLeave(socket, i, READS);
const BEHIND = (socket, i) => leaveBehindBody(socket, i, BEHIND_BYTES);

for (const [what, parts, prepare] of [
  ['many short requests at once', crowdOf(CLIENTS, SHORT)],
  [
    'unread answers behind one another',
    crowdOf(CLIENTS, UNREAD),
    LARGE_ANSWERS,
  ],
  ['answers behind one another', crowdOf(CLIENTS, READ), LARGE_ANSWERS],
  ['clients that leave their answers', crowdOf(CLIENTS, LEAVE), LARGE_ANSWERS],
]) {
  test(`LOST: ${what} leave a gateway in its bounds and serving`, async t => {
    await playCrowd(t, {parts, prepare, limits: LIMITS});
  });
}

for (const [listener, path] of [
  ['ops', '/metrics'],
  ['ops', '/status'],
  ['probe', '/readiness'],
]) {
  test(`LOST: unread answers to ${path} leave a gateway in its bounds and serving`, async t => {
    const parts = crowdOf(CLIENTS, s => pipelinePage(s, path, PAGES));
    await playCrowd(t, {parts, listener, limits: LIMITS});
  });
}

// The first requests hang, so that the clients leave before any answer.
test('LOST: clients that leave a body behind a request give its memory back', async t => {
  const hang = value => platform => {
    for (const service of platform.services) service.faults.hang = value;
  };
  const parts = crowdOf(CLIENTS, BEHIND);
  const fleet = await playCrowd(t, {parts, prepare: hang(1), limits: LIMITS});
  hang(0)(fleet.platform);
  const status = await postBody(fleet.gateway.started.caller, 1_000 * KB);
  assert.equal(status, 200);
  await assertServes(fleet);
});
