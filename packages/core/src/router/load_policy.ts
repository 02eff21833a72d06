import {createDecodeTimes} from '../queue/decode_times.js';
import {
  createEarlyRejection,
  type EarlyRejection,
} from '../queue/early_rejection.js';
import {createNoEarlyRejection} from '../queue/no_early_rejection.js';
import type {RequestQueue} from '../queue/request_queue.js';
import type {RequestObserver} from '../requests/request_observer.js';
import type {RequestState} from '../requests/request_state.js';
import type {Reservations} from '../reservations/reservations.js';
import {routeRequestOf} from '../routing/route_request_of.js';
import type {RoutingStrategy} from '../routing/routing_strategy.js';
import type {Outcome} from '../types/outcome.js';
import type {RouterConfig} from './router_config.js';
import type {RouterContext} from './router_context.js';

/** Connects queue, routing and reservations to the request life cycle. */
export interface LoadPolicy {
  observer: RequestObserver;
  earlyRejection: EarlyRejection;
  requestEnded(ctx: RouterContext, state: RequestState, outcome: Outcome): void;
}

/** Parts that the policy connects. */
export interface LoadPolicyParts {
  cfg: RouterConfig;
  queue: RequestQueue;
  strategy: RoutingStrategy;
  reservations: Reservations;
  /** Rejects a waiting request as overloaded. */
  reject(ctx: RouterContext, reqId: string, retryAfterMs: number): void;
}

/** Creates the policy; the fifo baseline rejects nothing early. */
export function createLoadPolicy(parts: LoadPolicyParts): LoadPolicy {
  const {cfg, queue, strategy, reservations, reject} = parts;
  const decodeTimes = createDecodeTimes();
  const earlyRejection =
    cfg.queue === 'fifo'
      ? createNoEarlyRejection()
      : createEarlyRejection({
          queue,
          strategy,
          decodeTimes,
          maxWaiting: cfg.maxWaiting,
          reject,
        });
  const observer: RequestObserver = {
    admitted: (ctx, state) =>
      strategy.admitted(routeRequestOf(state), ctx.nowMs),
    firstDelta: (ctx, state) => {
      // Before the first part, the last progress is the start of the attempt.
      const elapsedMs = ctx.nowMs - state.lastProgressMs;
      if (state.choice) strategy.firstToken(state.choice, elapsedMs);
    },
    attemptFailed: (ctx, state) => reservations.release(ctx, state.entry.reqId),
  };

  function requestEnded(
    ctx: RouterContext,
    state: RequestState,
    outcome: Outcome,
  ): void {
    const {reqId, className, arrivedMs} = state.entry;
    reservations.release(ctx, reqId);
    if (outcome.kind !== 'completed' || state.firstTokenMs === undefined) {
      return;
    }
    const decodeMs = ctx.nowMs - arrivedMs - state.firstTokenMs;
    decodeTimes.observe(className, decodeMs);
  }

  return {observer, earlyRejection, requestEnded};
}
