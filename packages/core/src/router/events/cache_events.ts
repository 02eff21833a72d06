/** Changes of an engine's prefix cache, or the full listing. */
export interface CacheEvents {
  kind: 'cache_events';
  endpoint: string;
  incarnation: string;
  /** Number of the first event; a gap after the last one read means loss. */
  firstSequence: number;
  lastSequence: number;
  /** True if `added` is the full listing rather than changes. */
  full: boolean;
  added: string[];
  removed: string[];
}
