import type {Route} from './route.js';

/** Finds the route of a request. */
export interface RouteTable {
  /** The route with the longest prefix of `path`; undefined if none fits. */
  find(host: string, path: string): Route | undefined;
}

/** Indexes routes by host and prefix. */
export function createRouteTable(routes: Route[]): RouteTable {
  const byHost = new Map<string, Map<string, Route>>();
  for (const route of routes) {
    const prefixes = byHost.get(route.host) ?? new Map<string, Route>();
    prefixes.set(route.prefix, route);
    byHost.set(route.host, prefixes);
  }

  function find(host: string, path: string): Route | undefined {
    const prefixes = byHost.get(host);
    if (!prefixes) return undefined;
    // Each prefix ends with a slash, so only paths cut at a slash can match.
    for (
      let slash = path.lastIndexOf('/');
      slash >= 0;
      slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1)
    ) {
      const route = prefixes.get(path.slice(0, slash + 1));
      if (route) return route;
    }
    return undefined;
  }

  return {find};
}
