import type {GatewayState} from './gateway_state.js';

/** Periodic heartbeat of a gateway. */
export interface Beat extends GatewayState {
  kind: 'beat';
  /** The sender gets no heartbeats of the receiver and requests one. */
  wantsReply: boolean;
  /** Whether the receiver passes it on to all others. */
  passOn: boolean;
}
