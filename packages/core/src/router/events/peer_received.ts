import type {PeerMessage} from '../messages/peer_message.js';

/** A message from another router. */
export interface PeerReceived {
  kind: 'peer_received';
  /** Address of the sender. */
  from: string;
  fromIncarnation: number;
  message: PeerMessage;
}
