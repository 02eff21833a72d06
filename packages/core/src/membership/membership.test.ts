import assert from 'node:assert/strict';
import {test} from 'node:test';
import {memberUpdate} from '../mocks/member_updates.js';
import {routerConfig} from '../mocks/router_events.js';
import {createStepHarness} from '../mocks/step_harness.js';
import type {RouterAction} from '../router/actions/router_action.js';
import type {SendPeer} from '../router/actions/send_peer.js';
import type {PeerReceived} from '../router/events/peer_received.js';
import type {MemberUpdate} from '../router/messages/member_update.js';
import {createRouterNode} from '../router/router_node.js';

const PEER = memberUpdate().address;

function probeFrom(
  fromIncarnation: number,
  ...members: MemberUpdate[]
): PeerReceived {
  return {
    kind: 'peer_received',
    from: PEER,
    fromIncarnation,
    message: {
      kind: 'probe',
      sequence: 1,
      gossip: {
        failureDomain: 'amman-1',
        refutation: 0,
        tableNext: 0,
        members,
        endpoints: [],
        work: [],
      },
    },
  };
}

function sent(actions: RouterAction[]): SendPeer[] {
  return actions.filter(action => action.kind === 'send_peer');
}

function router() {
  return createStepHarness(createRouterNode(routerConfig()));
}

/** Returns the messages of a router that runs for a time without answers. */
function sentWithin(harness: ReturnType<typeof router>, ms: number) {
  const messages: SendPeer[] = [];
  for (let t = 0; t < ms; t += 100) {
    messages.push(...sent(harness.step({kind: 'tick'}, 100)));
  }
  return messages;
}

test('a dead member is still contacted, so that partitions heal', () => {
  const harness = router();
  harness.step(probeFrom(5));
  sentWithin(harness, 20_000);
  const later = sentWithin(harness, 6_000);
  assert.ok(later.some(({to}) => to === PEER));
  // Any message tells the member of its death, so that it can refute that.
  const receivedUpdates = later.flatMap(({message}) =>
    message.kind === 'member_digest' ? message.gossip.members : [],
  );
  assert.ok(receivedUpdates.some(update => update.status === 'dead'));
});

test('an earlier incarnation that still sends is told of the later one', () => {
  const harness = router();
  harness.step(probeFrom(6));
  const [answer] = sent(harness.step(probeFrom(5)));
  assert.equal(answer?.message.kind, 'probe_ack');
  const receivedUpdates =
    answer?.message.kind === 'probe_ack' ? answer.message.gossip.members : [];
  assert.ok(
    receivedUpdates.some(u => u.address === PEER && u.incarnation === 6),
  );
});

test('a router resuming from a pause suspects nobody, refutes its death', () => {
  const harness = router();
  harness.step(probeFrom(5));
  // The pause begins while a probe is unanswered.
  while (sent(harness.step({kind: 'tick'}, 50)).length === 0);
  const actions = harness.step({kind: 'tick'}, 60_000);
  assert.ok(!actions.some(a => a.kind === 'write_log' && a.event === 'WL4002'));
  const own = {address: routerConfig().address, incarnation: 1};
  const death = memberUpdate({...own, status: 'dead'});
  const [answer] = sent(harness.step(probeFrom(5, death)));
  assert.ok(answer?.message.kind === 'probe_ack');
  assert.equal(answer.message.gossip.refutation, 1);
});
