import type {CallerLimits} from './caller_limits.js';
import type {CustomerAccess} from './customer_access.js';
import type {Route} from './route.js';
import type {ServiceSpec} from './service_spec.js';

/** One version of the configuration that operators publish. */
export interface Configuration {
  /** Increases with each publication, not always by one. */
  version: number;
  routes: Route[];
  services: ServiceSpec[];
  limits: CallerLimits;
  /** Undefined if no request needs a key. */
  customers: CustomerAccess[] | undefined;
}
