import type {Feature} from '../types/feature.js';
import type {RouterAction} from './actions/router_action.js';
import type {RouterEvent} from './events/router_event.js';

/** A component of the router that is called in each step. */
export type RouterFeature = Feature<RouterEvent, RouterAction>;
