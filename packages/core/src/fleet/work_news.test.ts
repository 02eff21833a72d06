import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {GatewayAction} from '../gateway/actions/gateway_action.js';
import type {SendPeers} from '../gateway/actions/send_peers.js';
import type {GatewayEvent} from '../gateway/events/gateway_event.js';
import {
  piece,
  readyGateway,
  requestArrived,
  type GatewayHarness,
} from '../mocks/gateway_harness.js';
import {endpointEntry} from '../mocks/gateway_parts.js';
import {beatOf, peerReceived, workNotice} from '../mocks/peer_parts.js';
import type {PeerMessage} from './messages/peer_message.js';

const PEERS = Array.from({length: 13}, (_, i) => `10.0.0.${i + 20}:7000`);
const NEAR = PEERS.slice(0, 7);
const RELAY = '10.0.0.26:7000';
const FAR_RELAY = '10.0.0.32:7000';

function fromPeer(from: string, message: PeerMessage): GatewayEvent {
  return peerReceived(from, message, 5);
}

/** A gateway with two engines that has heard 13 others. */
function largeFleet(address = '10.0.0.1:7000'): GatewayHarness {
  const entries = [endpointEntry({id: 'e1'}), endpointEntry({id: 'e2'})];
  const gateway = readyGateway({cfg: {address}, entries});
  for (const peer of PEERS) {
    const failureDomain = NEAR.includes(peer) ? 'amman-1' : 'amman-2';
    gateway.step(fromPeer(peer, beatOf({failureDomain})));
  }
  gateway.step({kind: 'tick'}, 10);
  return gateway;
}

function sent(
  actions: GatewayAction[],
  kind: PeerMessage['kind'],
): SendPeers[] {
  return actions.filter(
    (action): action is SendPeers =>
      action.kind === 'send_peers' && action.message.kind === kind,
  );
}

function expectedMs(actions: GatewayAction[]): number {
  const log = actions.find(
    action => action.kind === 'write_log' && action.event === 'WL8301',
  );
  assert.ok(log?.kind === 'write_log');
  return Number(log.fields['expectedMs']);
}

test('changes of work go to the relay of the failure domain alone', () => {
  const [update] = sent(largeFleet().step(requestArrived()), 'work_update');
  assert.deepEqual(update?.to, [RELAY]);
  assert.ok(update.message.kind === 'work_update' && update.message.passOn);
});

test('a relay that passes nothing on is left for a while', () => {
  const gateway = largeFleet();
  gateway.step(requestArrived());
  const actions = gateway.step(piece(1), 400);
  const [update] = sent(actions, 'work_update');
  assert.equal(update?.to.length, PEERS.length);
  assert.ok(update.message.kind === 'work_update' && !update.message.passOn);
  const [all] = sent(actions, 'beat');
  assert.ok(all?.message.kind === 'beat' && all.message.work.length === 1);
});

test('a relay that passes changes on stays in use', () => {
  const gateway = largeFleet();
  gateway.step(requestArrived());
  const own = {member: '10.0.0.1:7000', incarnation: 1};
  const changes = [{...own, started: [], writing: [], ended: []}];
  const digest = {kind: 'work_digest', passOn: false, changes} as const;
  gateway.step(fromPeer(RELAY, digest), 60);
  const [update] = sent(gateway.step(piece(1), 400), 'work_update');
  assert.deepEqual(update?.to, [RELAY]);
});

/** Members whose changes a digest to these gateways holds. */
function passedOn(actions: GatewayAction[], to: string[]): unknown[] {
  return sent(actions, 'work_digest')
    .filter(action => action.to.join() === to.join())
    .flatMap(({message}) =>
      message.kind === 'work_digest'
        ? message.changes.map(({member, incarnation}) => [member, incarnation])
        : [],
    );
}

test('a relay gathers changes, once for each other failure domain', () => {
  const self = '10.0.0.99:7000';
  const gateway = largeFleet(self);
  const changes = {started: [workNotice({main: 'e1'})], writing: [], ended: []};
  const update = {kind: 'work_update', passOn: true, ...changes} as const;
  const actions = [
    ...gateway.step(fromPeer(NEAR[0]!, update)),
    ...gateway.step(requestArrived()),
    ...gateway.step({kind: 'tick'}, 60),
  ];
  assert.deepEqual(sent(actions, 'work_update'), []);
  const all = [
    [NEAR[0], 5],
    [self, 1],
  ];
  assert.deepEqual(passedOn(actions, NEAR), all);
  assert.deepEqual(passedOn(actions, [FAR_RELAY]), all);
});

test('changes from another failure domain are passed on to near ones only', () => {
  const gateway = largeFleet('10.0.0.99:7000');
  const far = {member: PEERS[10]!, incarnation: 5};
  const changes = [{...far, started: [], writing: [1], ended: []}];
  const digest = {kind: 'work_digest', passOn: true, changes} as const;
  const actions = [
    ...gateway.step(fromPeer(FAR_RELAY, digest)),
    ...gateway.step({kind: 'tick'}, 60),
  ];
  assert.deepEqual(passedOn(actions, NEAR), [[PEERS[10], 5]]);
  assert.deepEqual(passedOn(actions, [FAR_RELAY]), []);
});

test('work of a digest counts unless it is of an earlier start', () => {
  const digestOf = (incarnation: number): PeerMessage => ({
    kind: 'work_digest',
    passOn: false,
    changes: ['e1', 'e2'].map((main, i) => ({
      member: PEERS[i]!,
      incarnation,
      started: [workNotice({main})],
      writing: [],
      ended: [],
    })),
  });
  const old = largeFleet();
  old.step(fromPeer(RELAY, digestOf(4)));
  assert.ok(expectedMs(old.step(requestArrived())) < 200);
  const current = largeFleet();
  current.step(fromPeer(RELAY, digestOf(5)));
  assert.ok(expectedMs(current.step(requestArrived())) > 500);
});
