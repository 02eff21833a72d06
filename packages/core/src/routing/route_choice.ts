import type {AttemptReservation} from '../router/actions/start_attempt.js';
import type {EndpointView} from '../endpoints/endpoint_view.js';
import type {RouteCosts} from './route_costs.js';

/** A chosen endpoint and why. */
export interface RouteChoice {
  endpoint: EndpointView;
  /** Expected milliseconds to the first token; 0 if not estimated. */
  costMs: number;
  reason: string;
  /** Parts of the cost, if it was estimated. */
  costs?: RouteCosts;
  /** Sessions reserved for a prompt larger than one engine. */
  reservations?: AttemptReservation[];
}
