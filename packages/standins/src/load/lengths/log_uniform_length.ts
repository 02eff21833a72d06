import type {RandomSource} from '@wisterialadder/core/types/random_source.js';
import {LengthDistribution} from './length_distribution.js';

/** Log-uniform distribution: equal probability per order of magnitude. */
export class LogUniformLength extends LengthDistribution {
  constructor(
    private readonly min: number,
    private readonly max: number,
  ) {
    super();
  }

  override draw(random: RandomSource): number {
    return Math.round(this.min * (this.max / this.min) ** random());
  }
}
