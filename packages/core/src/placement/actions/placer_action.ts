import type {LeaseAction} from '../../lease/lease_action.js';
import type {Exit} from '../../router/actions/exit.js';
import type {SetReady} from '../../router/actions/set_ready.js';
import type {WatchEndpoints} from '../../router/actions/watch_endpoints.js';
import type {RequestWeights} from './request_weights.js';
import type {SendOrder} from './send_order.js';

/** Actions of a placer. */
export type PlacerAction =
  Exit | LeaseAction | RequestWeights | SendOrder | SetReady | WatchEndpoints;
