/** Token-bucket rate limiter. */
export interface TokenBucket {
  /** Takes a token; false if the bucket is empty. */
  tryTake(nowMs: number): boolean;
}

/** Creates a full bucket. */
export function createTokenBucket(
  perSecond: number,
  burst: number,
): TokenBucket {
  let tokens = burst;
  let lastRefillMs: number | undefined;

  return {
    tryTake: nowMs => {
      const elapsedMs = nowMs - (lastRefillMs ?? nowMs);
      lastRefillMs = nowMs;
      tokens = Math.min(burst, tokens + (elapsedMs / 1_000) * perSecond);
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
