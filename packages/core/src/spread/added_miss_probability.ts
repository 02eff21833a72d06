import {missProbability} from '../engine_model/miss_probability.js';

/** Increase of the probability of missing a limit that a delay causes. */
export function addedMissProbability(
  ms: number,
  delayMs: number,
  limitMs: number,
): number {
  return missProbability(ms + delayMs, limitMs) - missProbability(ms, limitMs);
}
