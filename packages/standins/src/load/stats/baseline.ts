/** Time to first token on an idle fleet, by prompt length. */
export interface Baseline {
  add(tokens: number, firstTokenMs: number): void;
  /** Interpolated; undefined without measurements. */
  firstTokenMs(tokens: number): number | undefined;
  /** Median by length in tokens. */
  points(): [number, number][];
}

/** Creates a baseline without measurements. */
export function createBaseline(): Baseline {
  const measured = new Map<number, number[]>();

  function points(): [number, number][] {
    return [...measured]
      .map(([tokens, values]): [number, number] => [tokens, median(values)])
      .sort(([a], [b]) => a - b);
  }

  function interpolate(tokens: number): number | undefined {
    const known = points();
    const above = known.findIndex(([length]) => length >= tokens);
    const high = known[above < 0 ? known.length - 1 : above];
    const low = known[above < 1 ? 0 : above - 1];
    if (!high || !low) return undefined;
    // Beyond the measured lengths, the nearest one stands.
    if (above < 1 || high[0] === low[0]) return high[1];
    const share = (tokens - low[0]) / (high[0] - low[0]);
    return low[1] + share * (high[1] - low[1]);
  }

  return {
    add: (tokens, firstTokenMs) => {
      const values = measured.get(tokens) ?? [];
      values.push(firstTokenMs);
      measured.set(tokens, values);
    },
    firstTokenMs: interpolate,
    points,
  };
}

function median(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
