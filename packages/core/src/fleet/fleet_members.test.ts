import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createFleetMembers} from './fleet_members.js';

test('dead gateways count as known until they are pruned', () => {
  const members = createFleetMembers('10.0.0.1:7000');
  members.recordHeartbeat(0, '10.0.0.2:7000', 1, 'direct');
  members.recordHeartbeat(0, '10.0.0.3:7000', 1, 'direct');
  assert.equal(members.aliveCount(5_000), 1);
  assert.equal(members.knownCount(), 3);
  members.prune(61_000);
  assert.equal(members.knownCount(), 1);
});

// Incarnations are taken from the wall clock, which may jump back by seconds
// while a gateway restarts. Peers that insist on a larger incarnation drop its
// messages for a minute.
test('a dead member may return with a smaller incarnation', () => {
  const members = createFleetMembers('10.0.0.1:7000');
  const peer = '10.0.0.2:7000';
  assert.ok(members.recordHeartbeat(0, peer, 5_000, 'direct'));
  assert.equal(members.recordHeartbeat(1_000, peer, 4_000, 'direct'), false);
  assert.equal(members.recordHeartbeat(3_000, peer, 4_000, 'relayed'), false);
  assert.ok(members.recordHeartbeat(3_000, peer, 4_000, 'direct'));
  assert.ok(members.recordHeartbeat(3_100, peer, 4_000, 'relayed'));
  assert.deepEqual(members.aliveAddresses(3_200), [peer]);
});
