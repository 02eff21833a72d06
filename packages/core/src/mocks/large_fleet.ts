import type {GatewayAction} from '../gateway/actions/gateway_action.js';
import type {SendPeers} from '../gateway/actions/send_peers.js';
import type {GatewayEvent} from '../gateway/events/gateway_event.js';
import type {PeerMessage} from '../fleet/messages/peer_message.js';
import {readyGateway, type GatewayHarness} from './gateway_harness.js';
import {endpointEntry} from './gateway_parts.js';
import {heartbeat, peerReceived} from './peer_parts.js';

/** Peer addresses of the other gateways, all in their fifth incarnation. */
export const PEERS = Array.from(
  {length: 13},
  (_, i) => `10.0.0.${i + 20}:7000`,
);
/** Peers in the gateway's own failure domain. */
export const SAME_DOMAIN_PEERS = PEERS.slice(0, 7);
export const RELAY = '10.0.0.26:7000';
/** Relay of the other failure domain. */
export const OTHER_DOMAIN_RELAY = '10.0.0.32:7000';

/** A message from one of the peers. */
export function fromPeer(from: string, message: PeerMessage): GatewayEvent {
  return peerReceived(from, message, 5);
}

/** A gateway with two engines and heartbeats of 13 others. */
export function largeFleet(address = '10.0.0.1:7000'): GatewayHarness {
  const entries = [endpointEntry({id: 'e1'}), endpointEntry({id: 'e2'})];
  const gateway = readyGateway({cfg: {address}, entries});
  for (const peer of PEERS) {
    const failureDomain = SAME_DOMAIN_PEERS.includes(peer)
      ? 'amman-1'
      : 'amman-2';
    gateway.step(fromPeer(peer, heartbeat({failureDomain})));
  }
  gateway.step({kind: 'tick'}, 10);
  return gateway;
}

/** Messages of one kind that are sent to peers. */
export function sentMessages(
  actions: GatewayAction[],
  kind: PeerMessage['kind'],
): SendPeers[] {
  return actions.filter(
    (action): action is SendPeers =>
      action.kind === 'send_peers' && action.message.kind === kind,
  );
}
