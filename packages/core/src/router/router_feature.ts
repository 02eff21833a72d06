import type {RouterContext} from './router_context.js';
import type {RouterHandlers} from './router_handlers.js';

/** A part of the router that takes part in each step. */
export interface RouterFeature {
  handlers: RouterHandlers;
  /** Called once, before the first event. */
  start?(ctx: RouterContext): void;
  /** Judges what is due by `ctx.nowMs`; called before each event. */
  expire?(ctx: RouterContext): void;
  /** Called after the handlers of each event. */
  settle?(ctx: RouterContext): void;
}
