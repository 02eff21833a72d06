import type {RandomSource} from '@wisterialadder/core/types/random_source.js';

/** Distribution of prompt lengths. */
export abstract class LengthDistribution {
  /** Draws a length in tokens. */
  abstract draw(random: RandomSource): number;
}
