import {missProbability} from '../engine_model/miss_probability.js';

/** How much likelier a delay makes it that a limit is missed. */
export function addedMissProbability(
  ms: number,
  delayMs: number,
  limitMs: number,
): number {
  return missProbability(ms + delayMs, limitMs) - missProbability(ms, limitMs);
}
