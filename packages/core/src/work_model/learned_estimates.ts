import type {Estimate} from './estimate.js';

/** Estimates by key; the least recently observed ones are dropped. */
export interface LearnedEstimates {
  observe(key: string, value: number): void;
  /**
   * Takes a peer's estimate into account. It adds no weight: the same
   * observations may come back by way of several gateways.
   */
  merge(key: string, peer: Estimate): void;
  get(key: string): Readonly<Estimate> | undefined;
  /** Keys, the most recently changed last. */
  keys(): Iterable<string>;
  /** Keys observed here since the last call, at most `count` of them. */
  takeChanged(count: number): string[];
}

/** Bounds of a set of estimates. */
export interface EstimateBounds {
  /** Largest number of keys. */
  maxKeys: number;
  /** Largest weight; older observations fade beyond it. */
  maxWeight: number;
  /** Variance before the first observation. */
  firstVariance: number;
}

/** Observations count as at most this many standard deviations away. */
const MAX_DEVIATIONS = 3;
/** Observations that the first variance stands for. */
const VARIANCE_WEIGHT = 2;

/** Creates an empty set of estimates. */
export function createLearnedEstimates(
  bounds: EstimateBounds,
): LearnedEstimates {
  const {maxKeys, maxWeight, firstVariance} = bounds;
  const estimates = new Map<string, Estimate>();
  const changed = new Set<string>();

  function put(key: string, estimate: Estimate): void {
    estimates.delete(key);
    estimates.set(key, estimate);
    if (estimates.size <= maxKeys) return;
    const [oldest = key] = estimates.keys();
    estimates.delete(oldest);
    changed.delete(oldest);
  }

  function observe(key: string, value: number): void {
    if (!Number.isFinite(value)) return;
    const known = estimates.get(key);
    if (!known) put(key, {mean: value, variance: firstVariance, weight: 1});
    else {
      const limit = Math.sqrt(known.variance) * MAX_DEVIATIONS;
      const raw = value - known.mean;
      const deviation = Math.max(-limit, Math.min(limit, raw));
      const weight = Math.min(maxWeight, known.weight + 1);
      const mean = known.mean + deviation / weight;
      const share = 1 / (weight + VARIANCE_WEIGHT);
      const variance =
        known.variance + (deviation * (value - mean) - known.variance) * share;
      put(key, {mean, variance: Math.max(0, variance), weight});
    }
    changed.add(key);
  }

  function merge(key: string, peer: Estimate): void {
    const weight = Math.min(maxWeight, peer.weight);
    const known = estimates.get(key);
    if (!known) return put(key, {...peer, weight});
    const share = weight / (weight + known.weight) / 2;
    put(key, {
      mean: known.mean + (peer.mean - known.mean) * share,
      variance: known.variance + (peer.variance - known.variance) * share,
      weight: Math.max(known.weight, weight),
    });
  }

  return {
    observe,
    merge,
    get: key => estimates.get(key),
    keys: () => estimates.keys(),
    takeChanged: count => {
      const taken = [...changed].slice(0, count);
      for (const key of taken) changed.delete(key);
      return taken;
    },
  };
}
