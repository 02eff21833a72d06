import type {EndpointDirectory} from '../endpoints/endpoint_directory.js';
import type {RequestQueue} from '../queue/request_queue.js';
import type {RouterConfig} from '../router/router_config.js';
import type {RouterContext} from '../router/router_context.js';
import type {Outcome} from '../types/outcome.js';
import type {RequestObserver} from './request_observer.js';
import type {RequestState} from './request_state.js';

/** Dependencies of a request tracker. */
export interface RequestTrackerParts {
  cfg: RouterConfig;
  queue: RequestQueue;
  endpoints: EndpointDirectory;
  observer?: RequestObserver;
  /** Called once for each request that ends. */
  onEnd(ctx: RouterContext, state: RequestState, outcome: Outcome): void;
}
