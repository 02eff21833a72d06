/** Callers wait at least this long for the next piece of a stream. */
const MIN_TIMEOUT_MS = 2_000;
/** Callers wait this many times the target for the first piece. */
const TARGET_FACTOR = 4;
/** Callers wait this many times the longest allowed gap. */
const GAP_FACTOR = 8;

/** Time without a piece after which a caller times out. */
export function callerTimeoutMs(targetMs: number, gapMs: number): number {
  return Math.max(MIN_TIMEOUT_MS, targetMs * TARGET_FACTOR, gapMs * GAP_FACTOR);
}
