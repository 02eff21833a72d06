/** Below this share of the limit, no miss is expected. */
const NO_MISS_SHARE = 0.7;
/** From this share of the limit on, a miss is certain. */
const CERTAIN_MISS_SHARE = 1.05;

/** Probability that an event expected after `ms` misses its limit. */
export function missProbability(ms: number, limitMs: number): number {
  if (limitMs <= 0) return 1;
  const share = ms / limitMs;
  return Math.min(
    1,
    Math.max(0, (share - NO_MISS_SHARE) / (CERTAIN_MISS_SHARE - NO_MISS_SHARE)),
  );
}
