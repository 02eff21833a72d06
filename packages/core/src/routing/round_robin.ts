import type {EndpointView} from '../endpoints/endpoint_view.js';
import type {RouteChoice} from './route_choice.js';
import type {RouteRequest} from './route_request.js';
import {RoutingStrategy} from './routing_strategy.js';

/** Baseline: each endpoint in turn, regardless of its load. */
export class RoundRobin extends RoutingStrategy {
  private turn = 0;

  override choose(
    req: RouteRequest,
    candidates: EndpointView[],
  ): RouteChoice | undefined {
    const list = this.preferUntried(req, candidates);
    const endpoint = list[this.turn % Math.max(1, list.length)];
    this.turn += 1;
    if (!endpoint) return undefined;
    return {endpoint, costMs: 0, reason: 'next in turn'};
  }
}
