import type {Feature} from '../types/feature.js';
import type {RouterAction} from './actions/router_action.js';
import type {RouterEvent} from './events/router_event.js';

/** A part of the router that takes part in each step. */
export type RouterFeature = Feature<RouterEvent, RouterAction>;
