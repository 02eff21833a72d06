/** Replaces the set of endpoints whose load reports are read. */
export interface WatchEndpoints {
  kind: 'watch_endpoints';
  endpoints: WatchedEndpoint[];
}

/** An endpoint whose load reports are read. */
export interface WatchedEndpoint {
  name: string;
  url: string;
}
