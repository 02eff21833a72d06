import assert from 'node:assert/strict';
import {test} from 'node:test';
import {memberUpdate, ownUpdate} from '../mocks/member_updates.js';
import {recordedContext} from '../mocks/router_context.js';
import type {MemberUpdate} from '../router/messages/member_update.js';
import {createMemberTable} from './member_table.js';

const PEER = memberUpdate().address;

/** Returns the record of a member after updates applied in order. */
function recordedAfter(...updates: Partial<MemberUpdate>[]): string {
  const table = createMemberTable(ownUpdate(), () => undefined);
  const ctx = recordedContext();
  for (const update of updates) table.apply(ctx, memberUpdate(update));
  const held = table.get(PEER)?.update;
  return held
    ? `${held.status} ${held.incarnation}.${held.refutation}`
    : 'unknown';
}

const CASES: [string, Partial<MemberUpdate>[], string][] = [
  [
    'a death reported by others is a suspicion that can be refuted',
    [{}, {status: 'dead'}],
    'suspect 5.0',
  ],
  ['an unknown dead member is not added', [{status: 'dead'}], 'unknown'],
  [
    'an old alive update does not clear a suspicion',
    [{status: 'suspect'}, {}],
    'suspect 5.0',
  ],
  [
    'a refutation clears a suspicion',
    [{status: 'suspect'}, {refutation: 1}],
    'alive 5.1',
  ],
  [
    'an old suspicion does not undo a refutation',
    [{refutation: 1}, {status: 'suspect'}],
    'alive 5.1',
  ],
  [
    'a later incarnation replaces an earlier one, whatever its refutations',
    [{refutation: 9, status: 'suspect'}, {incarnation: 6}],
    'alive 6.0',
  ],
  [
    'an update of an earlier incarnation does not change a later one',
    [{incarnation: 6}, {refutation: 9, status: 'suspect'}],
    'alive 6.0',
  ],
];

for (const [failure, updates, expected] of CASES) {
  test(`member table: ${failure}`, () => {
    assert.equal(recordedAfter(...updates), expected);
  });
}

const SELF_CASES: [string, Partial<MemberUpdate>, number][] = [
  ['its own suspicion', {status: 'suspect'}, 1],
  [
    'its own death, also with a later refutation number',
    {status: 'dead', refutation: 4},
    5,
  ],
  ['no death of an earlier incarnation', {status: 'dead', incarnation: 2}, 0],
  ['no death that it has already refuted', {status: 'dead', refutation: -1}, 0],
];

for (const [what, update, expected] of SELF_CASES) {
  test(`a router refutes ${what}`, () => {
    const table = createMemberTable(ownUpdate(), () => undefined);
    table.apply(recordedContext(), ownUpdate(update));
    assert.equal(table.self().refutation, expected);
  });
}

test('a suspect times out, but not while the observer is paused', () => {
  const table = createMemberTable(ownUpdate(), () => undefined);
  table.apply(recordedContext(0), memberUpdate({status: 'suspect'}));
  table.extendSuspicions(20_000);
  table.expire(recordedContext(20_000));
  assert.equal(table.get(PEER)?.update.status, 'suspect');
  table.expire(recordedContext(25_000));
  assert.equal(table.get(PEER)?.update.status, 'dead');
  assert.deepEqual(table.alive(), [ownUpdate().address]);
});
