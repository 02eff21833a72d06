import type {RandomSource} from '@wisterialadder/core/types/random_source.js';
import {LengthDistribution} from './length_distribution.js';

/** Each factor of length is equally frequent. */
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
