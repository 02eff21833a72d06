import type {RandomSource} from '../types/random_source.js';

const BASE_MS = 20;
const MAX_MS = 2_000;

/** Exponential backoff with full jitter, in milliseconds. */
export function backoffMs(attempt: number, random: RandomSource): number {
  const ceiling = Math.min(MAX_MS, BASE_MS * 2 ** Math.max(0, attempt - 1));
  return Math.floor(random() * ceiling);
}
