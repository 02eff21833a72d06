const RETRIES_PER_FIRST_ATTEMPT = 0.1;
const MIN_RETRIES_PER_SECOND = 1;
const MAX_TOKENS = 50;
const INITIAL_TOKENS = 10;

/**
 * Limits retries to a share of first attempts plus a small minimum rate, so
 * that retries cannot amplify an overload.
 */
export interface RetryBudget {
  firstAttempt(): void;
  /** Takes one retry; false if the budget is exhausted. */
  tryTake(nowMs: number): boolean;
}

/** Creates a budget that allows a few retries immediately. */
export function createRetryBudget(): RetryBudget {
  let tokens = INITIAL_TOKENS;
  let refilledMs: number | undefined;

  function refill(nowMs: number): void {
    const elapsedMs = nowMs - (refilledMs ?? nowMs);
    refilledMs = nowMs;
    add((elapsedMs / 1_000) * MIN_RETRIES_PER_SECOND);
  }

  function add(amount: number): void {
    tokens = Math.min(MAX_TOKENS, tokens + amount);
  }

  return {
    firstAttempt: () => add(RETRIES_PER_FIRST_ATTEMPT),
    tryTake: nowMs => {
      refill(nowMs);
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
