import type {GatewayState} from './gateway_state.js';

/** Regular message by which gateways know that others live. */
export interface Beat extends GatewayState {
  kind: 'beat';
  /** The sender does not hear the receiver and asks for a beat. */
  wantsReply: boolean;
  /** Whether the receiver is asked to pass it on to all others. */
  passOn: boolean;
}
