import type {LimitAmounts} from './limit_amounts.js';

const WINDOW_MS = 1_000;

/** Measures what callers ask for, refused requests included. */
export interface DemandMeter {
  /** Counts a request; `concurrent` includes it. */
  add(nowMs: number, tokens: number, concurrent: number): void;
  /** Demand of the busier of the current and the last window. */
  peakDemand(nowMs: number, inFlight: number): LimitAmounts;
}

/** Creates a meter with an empty window. */
export function createDemandMeter(nowMs: number): DemandMeter {
  let windowMs = nowMs;
  let current = {requests: 0, tokens: 0, concurrency: 0};
  let last = current;

  function roll(nowMs: number): void {
    if (nowMs < windowMs + WINDOW_MS) return;
    const empty = {requests: 0, tokens: 0, concurrency: 0};
    last = nowMs < windowMs + 2 * WINDOW_MS ? current : empty;
    current = {...empty};
    windowMs = nowMs;
  }

  return {
    add: (nowMs, tokens, concurrent) => {
      roll(nowMs);
      current.requests += 1;
      current.tokens += tokens;
      current.concurrency = Math.max(current.concurrency, concurrent);
    },
    peakDemand: (nowMs, inFlight) => {
      roll(nowMs);
      return {
        requests: Math.max(last.requests, current.requests),
        tokens: Math.max(last.tokens, current.tokens),
        concurrency: Math.max(last.concurrency, current.concurrency, inFlight),
      };
    },
  };
}
