import type {EndpointDirectory} from '../endpoints/endpoint_directory.js';
import type {QueueEntry} from '../queue/queue_entry.js';
import type {RequestQueue} from '../queue/request_queue.js';
import type {RequestTracker} from '../requests/request_tracker.js';
import {routeRequestOf} from '../routing/route_request_of.js';
import type {RoutingStrategy} from '../routing/routing_strategy.js';
import type {RouterContext} from './router_context.js';

/** Parts of the router that the dispatcher connects. */
export interface DispatcherParts {
  queue: RequestQueue;
  tracker: RequestTracker;
  endpoints: EndpointDirectory;
  strategy: RoutingStrategy;
}

/** Starts as many waiting requests as endpoints can take. */
export type Dispatcher = (ctx: RouterContext) => void;

/** Creates the dispatcher of a router. */
export function createDispatcher(parts: DispatcherParts): Dispatcher {
  const {queue, tracker, endpoints, strategy} = parts;

  function tryStart(ctx: RouterContext, entry: QueueEntry): boolean {
    const state = tracker.get(entry.reqId);
    if (!state) return true;
    const candidates = endpoints.candidates(entry.service, ctx.nowMs);
    const choice = strategy.choose(
      routeRequestOf(state),
      candidates,
      ctx.random,
    );
    if (!choice) return false;
    ctx.emit({
      kind: 'write_log',
      event: 'WL1001',
      fields: {
        reqId: entry.reqId,
        attempt: state.attempt + 1,
        endpoint: choice.endpoint.row.name,
        candidates: candidates.length,
        costMs: choice.costMs,
        reason: choice.reason,
      },
    });
    tracker.startAttempt(ctx, state, choice);
    return true;
  }

  return ctx => queue.serve(ctx.nowMs, entry => tryStart(ctx, entry));
}
