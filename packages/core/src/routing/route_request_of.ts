import type {RequestState} from '../requests/request_state.js';
import type {RouteRequest} from './route_request.js';

/** The routing view of an admitted request. */
export function routeRequestOf(state: RequestState): RouteRequest {
  const {reqId, service, objective, promptTokens} = state.entry;
  return {
    reqId,
    service,
    objective,
    promptTokens,
    prefixHashes: state.prefixHashes,
    avoid: state.failedEndpoints,
  };
}
