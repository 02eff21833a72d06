import type {OrphanReason} from './orphan_reason.js';

/** An orphan as listed by consecutive reports of its endpoint. */
export interface OrphanSession {
  reason: OrphanReason;
  sinceMs: number;
  /** Monotonic time of the last release; undefined if there was none. */
  releasedMs: number | undefined;
}
