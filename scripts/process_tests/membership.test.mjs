import assert from 'node:assert/strict';
import {test} from 'node:test';
import {chat, promptOf} from '../fleet/caller.mjs';
import {sendControl, until} from '../fleet/fleet.mjs';
import {appendEdit} from '../fleet/table_rows.mjs';
import {attemptsOn, fleetFor, tableOffset} from './mocks.mjs';

const OPTIONS = {key: 'clerk-key', cls: 'lookup', maxTokens: 8};
const TABLE_CHANGE_TIMEOUT_MS = 3_000;
/** Time in which all routers learn that an endpoint is leaving. */
const LEAVING_BOUND_MS = 5_000;

test('a leaving endpoint gets no new work after a few seconds', async t => {
  const {engines, routers} = await fleetFor(t, {engines: 3, routers: 3});
  await sendControl(engines[0].url, {leaving: true});
  await new Promise(resolve => setTimeout(resolve, LEAVING_BOUND_MS));
  const before = await attemptsOn(routers, 'engine-1');
  const answers = await Promise.all(
    Array.from({length: 30}, (_, i) =>
      chat(routers[i % 3].caller, {...OPTIONS, prompt: promptOf(500, `l${i}`)}),
    ),
  );
  assert.ok(answers.every(answer => answer.outcome === 'completed'));
  assert.equal(await attemptsOn(routers, 'engine-1'), before);
});

test('a table change takes effect on every router within 3 s', async t => {
  const {routers, platform, rows} = await fleetFor(t, {routers: 6});
  const row = rows.find(candidate => candidate.type === 'customer');
  const offset = await appendEdit(platform.url, 'edit-1', [
    {key: 'customer/clerks', base: 1, row: {...row, weight: 2}},
  ]);
  await until(
    'every router has the change',
    async () => {
      const offsets = await Promise.all(routers.map(tableOffset));
      return offsets.every(next => next > offset);
    },
    TABLE_CHANGE_TIMEOUT_MS,
  );
});

test('a router that starts during a log outage copies the table of a peer', async t => {
  const {fleet, routers, platform} = await fleetFor(t, {routers: 2});
  await sendControl(platform.url, {outage: 1});
  const late = await fleet.router('late', 'amman-3', platform.url, [
    routers[0].peers,
  ]);
  await fleet.ready(late.ops);
  const prompt = promptOf(500, 'late');
  const answer = await chat(late.caller, {...OPTIONS, prompt});
  assert.equal(answer.outcome, 'completed');
});
