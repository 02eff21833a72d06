/**
 * Steady clock; when one more request fits into a window.
 * @param times of the requests so far, oldest first
 * @param allowed requests in the window; for less than one, the window is
 *   longer
 */
export function freeSince(
  times: readonly number[],
  allowed: number,
  windowMs: number,
): number {
  // The newest requests fill the window until the oldest of them leaves it.
  const oldestMs = times[times.length - Math.max(1, Math.floor(allowed))];
  if (oldestMs === undefined) return Number.NEGATIVE_INFINITY;
  return oldestMs + windowMs / Math.min(1, allowed);
}
