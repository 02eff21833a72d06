import type {PeerMessage} from '../../fleet/messages/peer_message.js';

/** Sends a message to other gateways; it may be lost. */
export interface SendPeers {
  kind: 'send_peers';
  to: readonly string[];
  message: PeerMessage;
}
