import type {CacheChange} from './cache_change.js';

/** A change as the event feed keeps it. */
export interface CacheEntry extends CacheChange {
  sequence: number;
  /** Monotonic time from which readers see it. */
  visibleMs: number;
}
