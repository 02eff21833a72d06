/** Below this share of the time allowed, nothing is late. */
const SAFE_SHARE = 0.7;
/** From this share on, everything is late. */
const LATE_SHARE = 1.05;

/** Probability that something expected after `ms` misses its limit. */
export function missProbability(ms: number, limitMs: number): number {
  if (limitMs <= 0) return 1;
  const share = ms / limitMs;
  return Math.min(
    1,
    Math.max(0, (share - SAFE_SHARE) / (LATE_SHARE - SAFE_SHARE)),
  );
}
