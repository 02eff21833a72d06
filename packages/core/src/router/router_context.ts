import type {StepContext} from '../types/step_context.js';
import type {RouterAction} from './actions/router_action.js';

/** Step context of the router's features. */
export type RouterContext = StepContext<RouterAction>;
