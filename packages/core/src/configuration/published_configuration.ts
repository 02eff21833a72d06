import type {Configuration} from './configuration.js';
import {createCustomerKeys, type CustomerKeys} from './customer_keys.js';
import {createRouteTable, type RouteTable} from './route_table.js';
import type {ServiceSpec} from './service_spec.js';

/** The newest configuration that this process has, indexed for lookups. */
export interface PublishedConfiguration {
  /** Replaces the current version; false if `next` is not newer. */
  adopt(next: Configuration): boolean;
  /** Undefined before the first version. */
  current(): Configuration | undefined;
  version(): number;
  routes(): RouteTable;
  keys(): CustomerKeys;
  service(name: string): ServiceSpec | undefined;
}

/** Creates an empty configuration, without a version. */
export function createPublishedConfiguration(): PublishedConfiguration {
  let current: Configuration | undefined;
  let routes = createRouteTable([]);
  let keys = createCustomerKeys([]);
  let services = new Map<string, ServiceSpec>();

  function adopt(next: Configuration): boolean {
    if (current && next.version <= current.version) return false;
    current = next;
    routes = createRouteTable(next.routes);
    keys = createCustomerKeys(next.customers ?? []);
    services = new Map(next.services.map(spec => [spec.name, spec]));
    return true;
  }

  return {
    adopt,
    current: () => current,
    version: () => current?.version ?? 0,
    routes: () => routes,
    keys: () => keys,
    service: name => services.get(name),
  };
}
