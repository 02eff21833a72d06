/** Admits a rate with bursts. */
export interface TokenBucket {
  tryTake(nowMs: number): boolean;
}

/** Creates a full bucket. */
export function createTokenBucket(
  perSecond: number,
  burst: number,
): TokenBucket {
  let tokens = burst;
  let refilledMs: number | undefined;

  return {
    tryTake: nowMs => {
      const elapsedMs = nowMs - (refilledMs ?? nowMs);
      refilledMs = nowMs;
      tokens = Math.min(burst, tokens + (elapsedMs / 1_000) * perSecond);
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
