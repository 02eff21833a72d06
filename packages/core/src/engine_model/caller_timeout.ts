/** Callers wait at least this long for the next piece of a stream. */
const LEAST_MS = 2_000;
/** Callers wait this many times the target of a first piece. */
const TARGET_TIMES = 4;
/** Callers wait this many times the longest pause that is in time. */
const GAP_TIMES = 8;

/** Time without a piece after which a caller gives a stream up. */
export function callerTimeoutMs(targetMs: number, gapMs: number): number {
  return Math.max(LEAST_MS, targetMs * TARGET_TIMES, gapMs * GAP_TIMES);
}
