import type {RandomSource} from '@wisterialadder/core/types/random_source.js';
import {LengthDistribution} from './length_distribution.js';

/** Log-normal distribution, clamped to a range. */
export class LogNormalLength extends LengthDistribution {
  constructor(
    private readonly median: number,
    private readonly sigma: number,
    private readonly min: number,
    private readonly max: number,
  ) {
    super();
  }

  override draw(random: RandomSource): number {
    // Box–Muller; 1 − random() avoids the logarithm of 0.
    const radius = Math.sqrt(-2 * Math.log(1 - random()));
    const normal = radius * Math.cos(2 * Math.PI * random());
    const tokens = Math.round(this.median * Math.exp(this.sigma * normal));
    return Math.min(this.max, Math.max(this.min, tokens));
  }
}
