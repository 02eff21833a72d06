/** Time to first token on an idle fleet by prompt length. */
export interface Baseline {
  add(tokens: number, firstTokenMs: number): void;
  /** Interpolated linearly; undefined without samples. */
  firstTokenMs(tokens: number): number | undefined;
  /** Pairs of prompt length and median, by ascending length. */
  points(): [number, number][];
}

/** Creates a baseline without samples. */
export function createBaseline(): Baseline {
  const samples = new Map<number, number[]>();

  function points(): [number, number][] {
    return [...samples]
      .map(([tokens, values]): [number, number] => [tokens, median(values)])
      .sort(([a], [b]) => a - b);
  }

  function interpolate(tokens: number): number | undefined {
    const medians = points();
    const above = medians.findIndex(([length]) => length >= tokens);
    const high = medians[above < 0 ? medians.length - 1 : above];
    const low = medians[above < 1 ? 0 : above - 1];
    if (!high || !low) return undefined;
    // Lengths outside of the sampled range use the nearest sample.
    if (above < 1 || high[0] === low[0]) return high[1];
    const fraction = (tokens - low[0]) / (high[0] - low[0]);
    return low[1] + fraction * (high[1] - low[1]);
  }

  return {
    add: (tokens, firstTokenMs) => {
      const values = samples.get(tokens) ?? [];
      values.push(firstTokenMs);
      samples.set(tokens, values);
    },
    firstTokenMs: interpolate,
    points,
  };
}

function median(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
