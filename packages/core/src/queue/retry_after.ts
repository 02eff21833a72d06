import type {RandomSource} from '../types/random_source.js';

const MIN_MS = 1_000;
const MAX_MS = 60_000;
/** Priority 9 is sent away for 3.25 times as long as priority 0. */
const PER_PRIORITY = 0.25;

/**
 * Advice for a rejected caller: the time by which the request came too late,
 * longer for lower priorities. The jitter keeps callers from returning at once.
 */
export function retryAfterMs(
  lateMs: number,
  priority: number,
  random: RandomSource,
): number {
  const scaled = Math.max(MIN_MS, lateMs) * (1 + PER_PRIORITY * priority);
  const jittered = scaled * (1 + 0.2 * random());
  return Math.round(Math.min(MAX_MS, jittered));
}
