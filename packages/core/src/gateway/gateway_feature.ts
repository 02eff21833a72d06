import type {Feature} from '../types/feature.js';
import type {GatewayAction} from './actions/gateway_action.js';
import type {GatewayEvent} from './events/gateway_event.js';

/** A part of the gateway that is called in each step. */
export type GatewayFeature = Feature<GatewayEvent, GatewayAction>;
