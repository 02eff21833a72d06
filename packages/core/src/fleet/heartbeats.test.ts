import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {GatewayAction} from '../gateway/actions/gateway_action.js';
import type {GatewayHarness} from '../mocks/gateway_harness.js';
import {
  OTHER_DOMAIN_RELAY,
  fromPeer,
  largeFleet,
  SAME_DOMAIN_PEERS,
  PEERS,
  RELAY,
  sentMessages,
} from '../mocks/large_fleet.js';
import {heartbeat, fleetDigest, memberHeartbeat} from '../mocks/peer_parts.js';
import type {MemberBeat} from './messages/member_beat.js';

const SELF = '10.0.0.1:7000';
const AS_RELAY = '10.0.0.99:7000';

/** Runs for a time in which a relay sends heartbeats ten times a second. */
function run(
  gateway: GatewayHarness,
  seconds: number,
  beats: MemberBeat[],
): GatewayAction[] {
  return Array.from({length: seconds * 10}, () => {
    const digest = fleetDigest({beats});
    return gateway.step(fromPeer(RELAY, digest), 100);
  }).flat();
}

function allHeartbeats(): MemberBeat[] {
  return [SELF, ...PEERS].map(member =>
    memberHeartbeat(member, {
      incarnation: member === SELF ? 1 : 5,
      failureDomain: [SELF, ...SAME_DOMAIN_PEERS].includes(member)
        ? 'amman-1'
        : 'amman-2',
    }),
  );
}

/** Members whose heartbeats are in a digest to these gateways. */
function passedOn(actions: GatewayAction[], to: string[]): string[] {
  return sentMessages(actions, 'fleet_digest')
    .filter(action => action.to.join() === to.join())
    .flatMap(({message}) =>
      message.kind === 'fleet_digest'
        ? message.beats.map(({member}) => member)
        : [],
    );
}

// Heartbeats to all gateways grow with the square of the fleet size.
test('heartbeats go to the relay of the failure domain only', () => {
  const gateway = largeFleet();
  const beats = sentMessages(run(gateway, 3, allHeartbeats()), 'beat');
  assert.ok(beats.length >= 2 && beats.length <= 4);
  for (const {to, message} of beats) {
    assert.deepEqual(to, [RELAY]);
    assert.ok(message.kind === 'beat' && message.passOn);
  }
});

test('members are alive while a relay passes on their heartbeats', () => {
  const gateway = largeFleet();
  const others = allHeartbeats().filter(({member}) => member !== PEERS[0]);
  const dead = run(gateway, 6, others).flatMap(action =>
    action.kind === 'write_log' && action.event === 'WL8102'
      ? [action.fields['member']]
      : [],
  );
  assert.deepEqual(dead, [PEERS[0]]);
});

test('a relayed heartbeat of an earlier incarnation does not count', () => {
  const gateway = largeFleet();
  const others = allHeartbeats().filter(({member}) => member !== PEERS[0]);
  const outdated = memberHeartbeat(PEERS[0]!, {incarnation: 4});
  const dead = run(gateway, 6, [...others, outdated]).filter(
    action => action.kind === 'write_log' && action.event === 'WL8102',
  );
  assert.equal(dead.length, 1);
});

// Relays may be partitioned from each other while other gateways are not.
test('a member whose heartbeats are missing is contacted directly', () => {
  const gateway = largeFleet();
  const others = allHeartbeats().filter(({member}) => member !== PEERS[8]);
  const contacted = sentMessages(run(gateway, 3, others), 'beat').filter(
    ({message}) => message.kind === 'beat' && message.wantsReply,
  );
  assert.deepEqual(contacted[0]?.to, [PEERS[8]]);
});

test('if the relay fails, all get a heartbeat that wants a reply', () => {
  const gateway = largeFleet();
  run(gateway, 1, allHeartbeats());
  const actions = Array.from({length: 15}, () =>
    gateway.step({kind: 'tick'}, 100),
  ).flat();
  const broadcast = sentMessages(actions, 'beat').find(({to}) => to.length > 1);
  assert.deepEqual(broadcast?.to, PEERS);
  assert.ok(broadcast.message.kind === 'beat' && broadcast.message.wantsReply);
});

test('a relay sends heartbeats once to each other failure domain', () => {
  const gateway = largeFleet(AS_RELAY);
  const local = heartbeat({failureDomain: 'amman-1', passOn: true});
  const remote = fleetDigest({
    passOn: true,
    beats: [memberHeartbeat(PEERS[10]!)],
  });
  const actions = [
    ...gateway.step(fromPeer(SAME_DOMAIN_PEERS[0]!, local)),
    ...gateway.step(fromPeer(OTHER_DOMAIN_RELAY, remote)),
    ...gateway.step({kind: 'tick'}, 60),
  ];
  assert.deepEqual(passedOn(actions, SAME_DOMAIN_PEERS), [
    SAME_DOMAIN_PEERS[0],
    PEERS[10],
  ]);
  assert.deepEqual(passedOn(actions, [OTHER_DOMAIN_RELAY]), [
    SAME_DOMAIN_PEERS[0],
  ]);
});
