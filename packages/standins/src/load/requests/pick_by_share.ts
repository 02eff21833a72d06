import type {RandomSource} from '@wisterialadder/core/types/random_source.js';

/** Draws one item with a probability in proportion to its share. */
export function pickByShare<T extends {share: number}>(
  items: T[],
  random: RandomSource,
): T {
  const total = items.reduce((sum, {share}) => sum + share, 0);
  let left = random() * total;
  const last = items.at(-1);
  for (const item of items) {
    left -= item.share;
    if (left < 0) return item;
  }
  if (!last) throw new Error('nothing to pick from');
  return last;
}
