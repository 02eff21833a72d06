import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {GatewayAction} from '../gateway/actions/gateway_action.js';
import {piece, requestArrived} from '../mocks/gateway_harness.js';
import {
  OTHER_DOMAIN_RELAY,
  fromPeer,
  largeFleet,
  SAME_DOMAIN_PEERS,
  PEERS,
  RELAY,
  sentMessages,
} from '../mocks/large_fleet.js';
import {fleetDigest, workNotice} from '../mocks/peer_parts.js';
import type {PeerMessage} from './messages/peer_message.js';

function expectedMs(actions: GatewayAction[]): number {
  const log = actions.find(
    action => action.kind === 'write_log' && action.event === 'WL8301',
  );
  assert.ok(log?.kind === 'write_log');
  return Number(log.fields['expectedMs']);
}

test('changes of work go to the relay of the failure domain only', () => {
  const [update] = sentMessages(
    largeFleet().step(requestArrived()),
    'work_update',
  );
  assert.deepEqual(update?.to, [RELAY]);
  assert.ok(update.message.kind === 'work_update' && update.message.passOn);
});

// Two prompts of 400,000 tokens that two gateways send to the same engines
// within 40 ms are answered after 9.6 s instead of 2.4 s.
test('a long prompt is sent to all gateways at once', () => {
  const arrived = requestArrived({promptTokens: 150_000});
  const [update] = sentMessages(largeFleet().step(arrived), 'work_update');
  assert.deepEqual(update?.to, PEERS);
  assert.ok(update.message.kind === 'work_update' && !update.message.passOn);
});

test('a relay that passes nothing on is bypassed for a while', () => {
  const gateway = largeFleet();
  gateway.step(requestArrived());
  const actions = gateway.step(piece(1), 400);
  const [update] = sentMessages(actions, 'work_update');
  assert.equal(update?.to.length, PEERS.length);
  assert.ok(update.message.kind === 'work_update' && !update.message.passOn);
  const [all] = sentMessages(actions, 'beat');
  assert.ok(all?.message.kind === 'beat' && all.message.work.length === 1);
});

test('a relay that passes changes on stays in use', () => {
  const gateway = largeFleet();
  gateway.step(requestArrived());
  const own = {member: '10.0.0.1:7000', incarnation: 1};
  const changes = [{...own, started: [], writing: [], ended: []}];
  gateway.step(fromPeer(RELAY, fleetDigest({changes})), 60);
  const [update] = sentMessages(gateway.step(piece(1), 400), 'work_update');
  assert.deepEqual(update?.to, [RELAY]);
});

/** Members whose changes are in a digest to these gateways. */
function passedOn(actions: GatewayAction[], to: string[]): unknown[] {
  return sentMessages(actions, 'fleet_digest')
    .filter(action => action.to.join() === to.join())
    .flatMap(({message}) =>
      message.kind === 'fleet_digest'
        ? message.changes.map(({member, incarnation}) => [member, incarnation])
        : [],
    );
}

test('a relay sends changes once to each other failure domain', () => {
  const self = '10.0.0.99:7000';
  const gateway = largeFleet(self);
  const changes = {started: [workNotice({main: 'e1'})], writing: [], ended: []};
  const update = {kind: 'work_update', passOn: true, ...changes} as const;
  const actions = [
    ...gateway.step(fromPeer(SAME_DOMAIN_PEERS[0]!, update)),
    ...gateway.step(requestArrived()),
    ...gateway.step({kind: 'tick'}, 60),
  ];
  assert.deepEqual(sentMessages(actions, 'work_update'), []);
  const all = [
    [SAME_DOMAIN_PEERS[0], 5],
    [self, 1],
  ];
  assert.deepEqual(passedOn(actions, SAME_DOMAIN_PEERS), all);
  assert.deepEqual(passedOn(actions, [OTHER_DOMAIN_RELAY]), all);
});

test('changes from another domain are passed on in the own domain only', () => {
  const gateway = largeFleet('10.0.0.99:7000');
  const remote = {member: PEERS[10]!, incarnation: 5};
  const changes = [{...remote, started: [], writing: [1], ended: []}];
  const digest = fleetDigest({passOn: true, changes});
  const actions = [
    ...gateway.step(fromPeer(OTHER_DOMAIN_RELAY, digest)),
    ...gateway.step({kind: 'tick'}, 60),
  ];
  assert.deepEqual(passedOn(actions, SAME_DOMAIN_PEERS), [[PEERS[10], 5]]);
  assert.deepEqual(passedOn(actions, [OTHER_DOMAIN_RELAY]), []);
});

test('work in a digest counts unless its incarnation is outdated', () => {
  const startedBy = (incarnation: number): PeerMessage =>
    fleetDigest({
      changes: ['e1', 'e2'].map((main, i) => ({
        member: PEERS[i]!,
        incarnation,
        started: [workNotice({main})],
        writing: [],
        ended: [],
      })),
    });
  const old = largeFleet();
  old.step(fromPeer(RELAY, startedBy(4)));
  assert.ok(expectedMs(old.step(requestArrived())) < 200);
  const current = largeFleet();
  current.step(fromPeer(RELAY, startedBy(5)));
  assert.ok(expectedMs(current.step(requestArrived())) > 500);
});
