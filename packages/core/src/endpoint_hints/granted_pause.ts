/** Longest pause that an endpoint asks for in earnest: an hour. */
const MAX_PLAUSIBLE_MS = 3_600_000;
/** Granted for longer ones: an absurd value must not eject for good. */
const PAUSE_FOR_ABSURD_MS = 60_000;

/** Time for which an endpoint that asks for a pause gets no new work. */
export function grantedPauseMs(askedMs: number): number {
  if (askedMs > MAX_PLAUSIBLE_MS) return PAUSE_FOR_ABSURD_MS;
  return Math.max(0, askedMs);
}
