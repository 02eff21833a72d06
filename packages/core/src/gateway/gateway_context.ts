import type {StepContext} from '../types/step_context.js';
import type {GatewayAction} from './actions/gateway_action.js';

/** Step context of the gateway's features. */
export type GatewayContext = StepContext<GatewayAction>;
