import type {CacheChange} from './cache_change.js';

/** A cache change with its sequence number and visibility time. */
export interface CacheEvent extends CacheChange {
  sequence: number;
  /** Monotonic time from which readers see the event. */
  visibleMs: number;
}
