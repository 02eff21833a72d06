import type {RandomSource} from '@wisterialadder/core/types/random_source.js';

/** Picks an item at random, weighted by share. */
export function pickWeighted<T extends {share: number}>(
  items: T[],
  random: RandomSource,
): T {
  const total = items.reduce((sum, {share}) => sum + share, 0);
  let remaining = random() * total;
  const last = items.at(-1);
  for (const item of items) {
    remaining -= item.share;
    if (remaining < 0) return item;
  }
  if (!last) throw new Error('cannot pick from an empty list');
  return last;
}
