import type {RandomSource} from '../types/random_source.js';

/** Returns a random item; undefined if there is none. */
export function pick<T>(
  items: readonly T[],
  random: RandomSource,
): T | undefined {
  return items[Math.floor(random() * items.length)];
}
