import type {CallerLimits} from './caller_limits.js';
import type {CustomerAccess} from './customer_access.js';
import type {Route} from './route.js';
import type {ServiceSpec} from './service_spec.js';

/** One version of everything that operators publish. */
export interface Configuration {
  /** Grows with each publication, in uneven steps. */
  version: number;
  routes: Route[];
  services: ServiceSpec[];
  limits: CallerLimits;
  /** Undefined if requests need no key at all. */
  customers: CustomerAccess[] | undefined;
}
