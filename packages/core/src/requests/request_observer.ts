import type {RouterContext} from '../router/router_context.js';
import type {RequestState} from './request_state.js';

/** Hears of the steps in a request's life that other features learn from. */
export interface RequestObserver {
  admitted(ctx: RouterContext, state: RequestState): void;
  /** First part of the current attempt; the state is not updated yet. */
  firstDelta(ctx: RouterContext, state: RequestState): void;
  /** The current attempt ended without a whole answer. */
  attemptFailed(ctx: RouterContext, state: RequestState): void;
}
