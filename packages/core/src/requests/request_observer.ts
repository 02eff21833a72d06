import type {RouterContext} from '../router/router_context.js';
import type {RequestState} from './request_state.js';

/** Notified of request lifecycle steps that other features depend on. */
export interface RequestObserver {
  admitted(ctx: RouterContext, state: RequestState): void;
  /** First part of the current attempt; the state is not updated yet. */
  firstDelta(ctx: RouterContext, state: RequestState): void;
  /** The current attempt ended without a complete answer. */
  attemptFailed(ctx: RouterContext, state: RequestState): void;
}
