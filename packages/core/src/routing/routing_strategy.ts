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

  /** A request was admitted, for which an endpoint will be chosen. */
  admitted(_req: RouteRequest, _nowMs: number): void {}

  /** The first token of a choice's attempt arrived after `elapsedMs`. */
  firstToken(_choice: RouteChoice, _elapsedMs: number): void {}

  /** Time to first token on an idle endpoint; 0 where not estimated. */
  bestCaseMs(_service: string, _promptTokens: number): number {
    return 0;
  }

  /** Leaves out endpoints that failed for the request, unless all did. */
  protected preferUntried(
    req: RouteRequest,
    candidates: EndpointView[],
  ): EndpointView[] {
    const untried = candidates.filter(c => !req.avoid.has(c.row.name));
    return untried.length > 0 ? untried : candidates;
  }
}
