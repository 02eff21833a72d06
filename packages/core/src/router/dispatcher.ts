import type {EndpointDirectory} from '../endpoints/endpoint_directory.js';
import type {EndpointView} from '../endpoints/endpoint_view.js';
import type {EarlyRejection} from '../queue/early_rejection.js';
import type {QueueEntry} from '../queue/queue_entry.js';
import type {RequestQueue} from '../queue/request_queue.js';
import type {RequestState} from '../requests/request_state.js';
import type {RequestTracker} from '../requests/request_tracker.js';
import {kvFit} from '../reservations/kv_need.js';
import type {Reservations} from '../reservations/reservations.js';
import type {RouteChoice} from '../routing/route_choice.js';
import {routeRequestOf} from '../routing/route_request_of.js';
import type {RoutingStrategy} from '../routing/routing_strategy.js';
import type {RouterContext} from './router_context.js';

/** Parts of the router that the dispatcher connects. */
export interface DispatcherParts {
  queue: RequestQueue;
  tracker: RequestTracker;
  endpoints: EndpointDirectory;
  strategy: RoutingStrategy;
  reservations: Reservations;
  earlyRejection: EarlyRejection;
}

/** Starts waiting requests on endpoints. */
export interface Dispatcher {
  /** Starts as many waiting requests as endpoints can take. */
  dispatch(ctx: RouterContext): void;
  /** Starts a request on the endpoint that was chosen for it. */
  start(
    ctx: RouterContext,
    reqId: string,
    choice: RouteChoice,
    candidates: number,
  ): void;
}

/** Creates the dispatcher of a router. */
export function createDispatcher(parts: DispatcherParts): Dispatcher {
  const {queue, tracker, endpoints, strategy, reservations} = parts;

  function tryStart(ctx: RouterContext, entry: QueueEntry): boolean {
    const state = tracker.get(entry.reqId);
    if (!state) return true;
    const candidates = endpoints.candidates(entry.service, ctx.nowMs);
    const req = routeRequestOf(state);
    const choice = strategy.choose(req, candidates, ctx.random);
    if (!choice) return false;
    const {reqId} = entry;
    const {earlyRejection} = parts;
    const waitMs = choice.costMs - (choice.costs?.prefillMs ?? 0);
    const retryMs = earlyRejection.checkStart(ctx, entry, waitMs);
    if (retryMs !== undefined) {
      tracker.abort(ctx, reqId, 'refused', 'overloaded', retryMs);
    } else if (kvFit(state, endpoints) === 'one_engine') {
      start(ctx, reqId, choice, candidates.length);
    } else {
      reserve(ctx, state, choice, candidates);
    }
    return true;
  }

  function reserve(
    ctx: RouterContext,
    state: RequestState,
    choice: RouteChoice,
    candidates: EndpointView[],
  ): void {
    const {reqId} = state.entry;
    if (reservations.begin(ctx, state, choice, candidates)) {
      tracker.markReserving(reqId);
    } else {
      tracker.backOff(ctx, reqId);
    }
  }

  function start(
    ctx: RouterContext,
    reqId: string,
    choice: RouteChoice,
    candidates: number,
  ): void {
    const state = tracker.get(reqId);
    if (!state) return;
    ctx.emit({
      kind: 'write_log',
      event: 'WL1001',
      fields: {
        reqId,
        attempt: state.attempt + 1,
        endpoint: choice.endpoint.row.name,
        candidates,
        costMs: choice.costMs,
        ...roundedCosts(choice),
        reason: choice.reason,
      },
    });
    tracker.startAttempt(ctx, state, choice);
  }

  return {
    dispatch: ctx => queue.serve(ctx.nowMs, entry => tryStart(ctx, entry)),
    start,
  };
}

function roundedCosts({costs}: RouteChoice): Record<string, number> {
  if (!costs) return {};
  return {
    queueMs: Math.round(costs.queueMs),
    prefillMs: Math.round(costs.prefillMs),
    decodeMs: Math.round(costs.decodeMs),
    domainMs: costs.domainMs,
    cachedTokens: costs.cachedTokens,
  };
}
