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

/** Plays some time in which a relay passes on beats ten times a second. */
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

function allBeats(): MemberBeat[] {
  return [SELF, ...PEERS].map(member =>
    memberHeartbeat(member, {
      incarnation: member === SELF ? 1 : 5,
      failureDomain: [SELF, ...SAME_DOMAIN_PEERS].includes(member)
        ? 'amman-1'
        : 'amman-2',
    }),
  );
}

/** Members whose beats a digest to these gateways holds. */
function passedOn(actions: GatewayAction[], to: string[]): string[] {
  return sentMessages(actions, 'fleet_digest')
    .filter(action => action.to.join() === to.join())
    .flatMap(({message}) =>
      message.kind === 'fleet_digest'
        ? message.beats.map(({member}) => member)
        : [],
    );
}

// Beats to everybody grow with the square of the fleet.
test('beats go to the relay of the failure domain alone', () => {
  const gateway = largeFleet();
  const beats = sentMessages(run(gateway, 3, allBeats()), 'beat');
  assert.ok(beats.length >= 2 && beats.length <= 4);
  for (const {to, message} of beats) {
    assert.deepEqual(to, [RELAY]);
    assert.ok(message.kind === 'beat' && message.passOn);
  }
});

test('members live as long as a relay passes on their beats', () => {
  const gateway = largeFleet();
  const others = allBeats().filter(({member}) => member !== PEERS[0]);
  const silent = run(gateway, 6, others).flatMap(action =>
    action.kind === 'write_log' && action.event === 'WL8102'
      ? [action.fields['member']]
      : [],
  );
  assert.deepEqual(silent, [PEERS[0]]);
});

test('a beat of an earlier start that a relay holds back does not count', () => {
  const gateway = largeFleet();
  const others = allBeats().filter(({member}) => member !== PEERS[0]);
  const old = memberHeartbeat(PEERS[0]!, {incarnation: 4});
  const silent = run(gateway, 6, [...others, old]).filter(
    action => action.kind === 'write_log' && action.event === 'WL8102',
  );
  assert.equal(silent.length, 1);
});

// Relays may be cut off from each other while other gateways are not.
test('a member whose beats stay away is asked directly', () => {
  const gateway = largeFleet();
  const others = allBeats().filter(({member}) => member !== PEERS[8]);
  const asked = sentMessages(run(gateway, 3, others), 'beat').filter(
    ({message}) => message.kind === 'beat' && message.wantsReply,
  );
  assert.deepEqual(asked[0]?.to, [PEERS[8]]);
});

test('without a relay that answers, everybody is told and asked', () => {
  const gateway = largeFleet();
  run(gateway, 1, allBeats());
  const actions = Array.from({length: 15}, () =>
    gateway.step({kind: 'tick'}, 100),
  ).flat();
  const told = sentMessages(actions, 'beat').find(({to}) => to.length > 1);
  assert.deepEqual(told?.to, PEERS);
  assert.ok(told.message.kind === 'beat' && told.message.wantsReply);
});

test('a relay passes beats on, once to each other failure domain', () => {
  const gateway = largeFleet(AS_RELAY);
  const near = heartbeat({failureDomain: 'amman-1', passOn: true});
  const far = fleetDigest({passOn: true, beats: [memberHeartbeat(PEERS[10]!)]});
  const actions = [
    ...gateway.step(fromPeer(SAME_DOMAIN_PEERS[0]!, near)),
    ...gateway.step(fromPeer(OTHER_DOMAIN_RELAY, far)),
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
