import type {EndpointView} from '../endpoints/endpoint_view.js';
import type {RandomSource} from '../types/random_source.js';
import type {RouteChoice} from './route_choice.js';
import type {RouteRequest} from './route_request.js';
import {RoutingStrategy} from './routing_strategy.js';

/** Baseline: the endpoint with the fewest open requests of this router. */
export class LeastOutstanding extends RoutingStrategy {
  override choose(
    req: RouteRequest,
    candidates: EndpointView[],
    random: RandomSource,
  ): RouteChoice | undefined {
    const list = this.preferUntried(req, candidates);
    const least = Math.min(...list.map(c => c.outstanding));
    const best = list.filter(c => c.outstanding === least);
    const endpoint = best[Math.floor(random() * best.length)];
    if (!endpoint) return undefined;
    return {endpoint, costMs: 0, reason: `${least} outstanding`};
  }
}
