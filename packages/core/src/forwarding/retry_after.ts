import type {GatewayContext} from '../gateway/gateway_context.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {ForwardedRequest} from './forwarded_request.js';

/** Suggested wait of callers before they retry a refused request. */
export const RETRY_AFTER_MS = 250;

/**
 * When a request that has found no capacity can be served: once the wait of the
 * best choice fits into its target. Callers are spread over as much time again,
 * since they would all come at the same moment otherwise.
 */
export function staggeredRetryMs(
  {random}: GatewayContext,
  {route}: ForwardedRequest,
  best: EndpointChoice | undefined,
): number {
  const overrunMs = (best?.expectedMs ?? 0) - route.targetMs;
  const soonestMs = Math.max(RETRY_AFTER_MS, overrunMs);
  return Math.round(soonestMs * (1 + random()));
}
