import type {RandomSource} from '../types/random_source.js';

const MIN_MS = 1_000;
const MAX_MS = 60_000;
/** Factor per level of priority: 9 waits 3.25 times as long as 0. */
const EXTRA_SHARE_PER_PRIORITY = 0.25;
/** Largest jitter, as a share of the time. */
const JITTER_SHARE = 0.2;

/**
 * Retry-After of a rejected request: the time by which it would be late, longer
 * for lower priorities. The jitter keeps callers from retrying all at once.
 */
export function retryAfterMs(
  lateMs: number,
  priority: number,
  random: RandomSource,
): number {
  const scaled =
    Math.max(MIN_MS, lateMs) * (1 + EXTRA_SHARE_PER_PRIORITY * priority);
  const jittered = scaled * (1 + JITTER_SHARE * random());
  return Math.round(Math.min(MAX_MS, jittered));
}
