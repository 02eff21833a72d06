/** Capacity of a bucket, in seconds of its rate. */
export const BURST_S = 1;

/**
 * A token bucket that may go into debt: a cost is taken as a whole if the
 * level is above 0, since a long prompt can cost more than any share holds.
 */
export interface TokenBucket {
  /** Refills for the time since the last call; `rate` is units per second. */
  refill(nowMs: number, rate: number): void;
  level(): number;
  take(cost: number): void;
}

/** Creates a bucket that is full for the rate. */
export function createTokenBucket(nowMs: number, rate: number): TokenBucket {
  let level = rate * BURST_S;
  let refilledMs = nowMs;

  return {
    refill: (nowMs, rate) => {
      level += ((nowMs - refilledMs) / 1_000) * rate;
      level = Math.min(level, rate * BURST_S);
      refilledMs = nowMs;
    },
    level: () => level,
    take: cost => {
      level -= cost;
    },
  };
}
