import type {RouterEvent} from './events/router_event.js';
import type {RouterContext} from './router_context.js';

/** Handlers registered by the kind of event. */
export type RouterHandlers = {
  [K in RouterEvent['kind']]?: (
    ctx: RouterContext,
    event: Extract<RouterEvent, {kind: K}>,
  ) => void;
};
