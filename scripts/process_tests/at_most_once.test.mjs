import assert from 'node:assert/strict';
import {test} from 'node:test';
import {callService, uuidV7} from '../fleet/caller.mjs';
import {sendControl, until} from '../fleet/fleet.mjs';
import {executionsOf, fleetFor} from './mocks.mjs';

const OPTIONS = {key: 'clerk-key', cls: 'register', body: {code: '4110'}};
const CALLS = 20;

function codeOf(answer) {
  return JSON.parse(answer.text).error.code;
}

function write(router, idempotencyKey) {
  return callService(router.caller, 'register', 'write', {
    ...OPTIONS,
    idempotencyKey,
  });
}

test('a write runs once, however often and to whichever router it is sent', async t => {
  const {routers, service} = await fleetFor(t, {routers: 3});
  const key = uuidV7();
  const first = await write(routers[0], key);
  assert.equal(first.outcome, 'completed');
  // Until the owner's record is on the log the call counts as in progress.
  await until('every router knows that the call is done', async () => {
    const again = await Promise.all(routers.map(router => write(router, key)));
    assert.ok(again.every(answer => answer.status === 409));
    return again.every(answer => codeOf(answer) === 'claim_already_done');
  });
  assert.equal(await executionsOf(service, key), 1);
});

test('writes race through all routers and each runs at most once', async t => {
  const {routers, service, platform} = await fleetFor(t, {routers: 3});
  await sendControl(platform.url, {lostAppends: 0.2});
  const keys = Array.from({length: CALLS}, () => uuidV7());
  const answers = await Promise.all(
    keys.flatMap(key =>
      routers.map(async router => ({key, ...(await write(router, key))})),
    ),
  );
  for (const key of keys) {
    const runs = await executionsOf(service, key);
    const sameKey = answers.filter(answer => answer.key === key);
    const done = sameKey.filter(answer => answer.outcome === 'completed');
    assert.ok(runs <= 1, `${key} ran ${runs} times`);
    assert.ok(done.length <= 1);
    if (done.length === 1) assert.equal(runs, 1);
    if (runs === 1)
      assert.ok(sameKey.some(a => a.outcome !== 'rejected_not_run'));
  }
});

test('a write whose answer is lost has an unknown outcome and is not repeated', async t => {
  const {routers, service} = await fleetFor(t, {routers: 2});
  await sendControl(service.url, {dropAnswer: 1});
  const key = uuidV7();
  const answer = await write(routers[0], key);
  assert.equal(answer.outcome, 'outcome_unknown');
  await sendControl(service.url, {dropAnswer: 0});
  // Until the owner's record is on the log the call counts as in progress.
  await until('the outcome is recorded', async () => {
    const again = await write(routers[1], key);
    assert.equal(again.outcome, 'outcome_unknown');
    return codeOf(again) === 'claim_outcome_unknown';
  });
  assert.equal(await executionsOf(service, key), 1);
});

test('a write is rejected as not run while the log is unreachable', async t => {
  const {routers, service, platform} = await fleetFor(t, {
    routers: 2,
    timeoutMs: 3_000,
  });
  await sendControl(platform.url, {outage: 1});
  const key = uuidV7();
  const answer = await write(routers[0], key);
  assert.equal(answer.outcome, 'rejected_not_run');
  await sendControl(platform.url, {outage: 0});
  assert.equal(await executionsOf(service, key), 0);
});

test('a write without a recent time-ordered key is rejected', async t => {
  const {routers} = await fleetFor(t, {routers: 1, engines: 1});
  const missing = await write(routers[0], '');
  const old = await write(routers[0], uuidV7(Date.now() - 40 * 86_400_000));
  assert.equal(missing.status, 400);
  assert.equal(old.status, 400);
});
