import type {PeerMessage} from '../messages/peer_message.js';

/** Sends a message to a router; it may be lost. */
export interface SendPeer {
  kind: 'send_peer';
  /** `IP:PORT`. */
  to: string;
  message: PeerMessage;
}
