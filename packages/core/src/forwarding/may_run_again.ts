import {isRepeatable} from '../configuration/is_repeatable.js';
import type {RouteTable} from '../configuration/route_table.js';
import type {ForwardedRequest} from './forwarded_request.js';

/**
 * Whether a request may run more than once, as it was admitted and by the
 * newest configuration: its route may have changed while it is open.
 */
export function mayRunAgain(
  {route, arrived}: Pick<ForwardedRequest, 'route' | 'arrived'>,
  routes: RouteTable,
): boolean {
  const newest = routes.find(arrived.host, arrived.path) ?? route;
  return isRepeatable(route) && isRepeatable(newest);
}
