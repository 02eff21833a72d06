/** Pause between two reads of one endpoint's cache. */
const PER_ENDPOINT_MS = 1_000;
/**
 * Reads per second over all endpoints. With 600 engines, reading each as soon
 * as its cache changes would alone exceed a node's 18 KB/s.
 */
const READS_PER_SECOND = 8;

/** Limits how often caches are read. */
export interface ReadRateLimiter {
  tryTake(endpoint: string, nowMs: number): boolean;
  /** Allows another read of the endpoint at once. */
  forget(endpoint: string): void;
}

/** Creates a limiter that allows the reads of one second as a burst. */
export function createReadRateLimiter(): ReadRateLimiter {
  const takenMs = new Map<string, number>();
  let tokens = READS_PER_SECOND;
  let refilledMs: number | undefined;

  function refill(nowMs: number): void {
    const elapsedMs = nowMs - (refilledMs ?? nowMs);
    refilledMs = nowMs;
    const added = (elapsedMs / 1_000) * READS_PER_SECOND;
    tokens = Math.min(READS_PER_SECOND, tokens + added);
  }

  return {
    tryTake: (endpoint, nowMs) => {
      refill(nowMs);
      const last = takenMs.get(endpoint) ?? -Infinity;
      if (tokens < 1 || nowMs - last < PER_ENDPOINT_MS) return false;
      tokens -= 1;
      takenMs.set(endpoint, nowMs);
      return true;
    },
    forget: endpoint => takenMs.delete(endpoint),
  };
}
