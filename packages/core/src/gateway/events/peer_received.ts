import type {PeerMessage} from '../../fleet/messages/peer_message.js';

/** A message from another gateway. */
export interface PeerReceived {
  kind: 'peer_received';
  /** Peer address of the sender, `IP:PORT`. */
  from: string;
  /** Larger for each start of the sender. */
  incarnation: number;
  message: PeerMessage;
}
