/** Starts to observe before a rate is given. */
const MIN_STARTS = 3;

/** Estimates how fast a lane is served while requests wait in it. */
export interface LaneThroughput {
  /** Adds elapsed time; `busy` says whether requests waited meanwhile. */
  advance(nowMs: number, busy: boolean): void;
  started(tokens: number): void;
  /** Tokens per millisecond; undefined until enough was observed. */
  tokensPerMs(): number | undefined;
}

/** Creates an estimate without data; observations decay by the half-life. */
export function createLaneThroughput(halfLifeMs: number): LaneThroughput {
  let tokens = 0;
  let busyMs = 0;
  let starts = 0;
  let advancedMs: number | undefined;

  function advance(nowMs: number, busy: boolean): void {
    const elapsedMs = nowMs - (advancedMs ?? nowMs);
    advancedMs = nowMs;
    if (!busy || elapsedMs <= 0) return;
    const decay = 0.5 ** (elapsedMs / halfLifeMs);
    tokens *= decay;
    starts *= decay;
    busyMs = busyMs * decay + elapsedMs;
  }

  return {
    advance,
    started: count => {
      tokens += count;
      starts += 1;
    },
    tokensPerMs: () =>
      starts < MIN_STARTS || busyMs <= 0 ? undefined : tokens / busyMs,
  };
}
