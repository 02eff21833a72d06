import type {GatewayState} from './gateway_state.js';

/** A relayed heartbeat of a gateway that is not the sender. */
export interface MemberBeat extends GatewayState {
  /** Peer address, `IP:PORT`. */
  member: string;
  incarnation: number;
}
