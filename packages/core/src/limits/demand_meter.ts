import type {LimitAmounts} from './limit_amounts.js';

const WINDOW_MS = 1_000;

/** Measures the demand of callers, refused requests included. */
export interface DemandMeter {
  /** Counts a request; `concurrent` includes it. */
  add(nowMs: number, tokens: number, concurrent: number): void;
  /** Maximum, for each amount, of the current and the previous window. */
  peakDemand(nowMs: number, inFlight: number): LimitAmounts;
}

/** Creates a meter with an empty window. */
export function createDemandMeter(nowMs: number): DemandMeter {
  let windowStartMs = nowMs;
  let current = {requests: 0, tokens: 0, concurrency: 0};
  let previous = current;

  function advanceWindow(nowMs: number): void {
    if (nowMs < windowStartMs + WINDOW_MS) return;
    const empty = {requests: 0, tokens: 0, concurrency: 0};
    previous = nowMs < windowStartMs + 2 * WINDOW_MS ? current : empty;
    current = {...empty};
    windowStartMs = nowMs;
  }

  return {
    add: (nowMs, tokens, concurrent) => {
      advanceWindow(nowMs);
      current.requests += 1;
      current.tokens += tokens;
      current.concurrency = Math.max(current.concurrency, concurrent);
    },
    peakDemand: (nowMs, inFlight) => {
      advanceWindow(nowMs);
      return {
        requests: Math.max(previous.requests, current.requests),
        tokens: Math.max(previous.tokens, current.tokens),
        concurrency: Math.max(
          previous.concurrency,
          current.concurrency,
          inFlight,
        ),
      };
    },
  };
}
