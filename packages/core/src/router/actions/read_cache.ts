/** Requests cache events from an engine, or its full listing. */
export interface ReadCache {
  kind: 'read_cache';
  endpoint: string;
  url: string;
  /** Last event known; -1 requests the full listing. */
  after: number;
}
