/** Asks an engine for cache events, or for its whole listing. */
export interface ReadCache {
  kind: 'read_cache';
  endpoint: string;
  url: string;
  /** Last event known; -1 asks for the whole listing. */
  after: number;
}
