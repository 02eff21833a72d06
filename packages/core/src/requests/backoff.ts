import type {RandomSource} from '../types/random_source.js';

const INITIAL_CEILING_MS = 20;
const MAX_CEILING_MS = 2_000;

/** Exponential backoff with full jitter, in milliseconds. */
export function backoffMs(attempt: number, random: RandomSource): number {
  const ceilingMs = Math.min(
    MAX_CEILING_MS,
    INITIAL_CEILING_MS * 2 ** Math.max(0, attempt - 1),
  );
  return Math.floor(random() * ceilingMs);
}
