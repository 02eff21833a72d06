import type {RouterContext} from '../router/router_context.js';
import type {EndpointChange} from './endpoint_change.js';

/** Receives events of the endpoints of a directory. */
export interface EndpointListener {
  changed(ctx: RouterContext, change: EndpointChange): void;
  /** A load report was read; it includes the work sent before it. */
  reported(ctx: RouterContext, endpoint: string): void;
  /** Work was sent to an endpoint. */
  sent(endpoint: string, promptTokens: number): void;
}
