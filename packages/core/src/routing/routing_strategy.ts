import type {EndpointView} from '../endpoints/endpoint_view.js';
import type {RandomSource} from '../types/random_source.js';
import type {RouteChoice} from './route_choice.js';
import type {RouteRequest} from './route_request.js';

/** Picks an endpoint among those that may take new work. */
export abstract class RoutingStrategy {
  /** Returns undefined if the request should wait. */
  abstract choose(
    req: RouteRequest,
    candidates: EndpointView[],
    random: RandomSource,
  ): RouteChoice | undefined;

  /** Leaves out endpoints that failed before, unless that leaves none. */
  protected preferUntried(
    req: RouteRequest,
    candidates: EndpointView[],
  ): EndpointView[] {
    const untried = candidates.filter(c => !req.avoid.has(c.row.name));
    return untried.length > 0 ? untried : candidates;
  }
}
