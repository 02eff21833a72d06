import type {RouterConfig} from '../router/router_config.js';

/** Settings of the claims feature. */
export type ClaimsConfig = Pick<
  RouterConfig,
  'address' | 'incarnation' | 'keyMaxAgeMs' | 'clockToleranceMs'
>;
