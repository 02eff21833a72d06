import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createFleetMembers} from './fleet_members.js';

test('silent gateways keep their share until they are forgotten', () => {
  const members = createFleetMembers('10.0.0.1:7000');
  members.heard(0, '10.0.0.2:7000', 1);
  members.heard(0, '10.0.0.3:7000', 1);
  assert.equal(members.size(5_000), 1);
  assert.equal(members.known(), 3);
  members.prune(61_000);
  assert.equal(members.known(), 1);
});
