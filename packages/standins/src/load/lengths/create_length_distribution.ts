import type {MixClass} from '../mix/mix_class.js';
import {FixedLength} from './fixed_length.js';
import type {LengthDistribution} from './length_distribution.js';
import {LogNormalLength} from './log_normal_length.js';
import {LogUniformLength} from './log_uniform_length.js';

/** Creates the length distribution of a chat class. */
export function createLengthDistribution(
  length: Extract<MixClass, {kind: 'chat'}>['length'],
): LengthDistribution {
  switch (length.distribution) {
    case 'fixed':
      return new FixedLength(length.tokens);
    case 'log_uniform':
      return new LogUniformLength(length.min, length.max);
    case 'log_normal': {
      const {median, sigma, min, max} = length;
      return new LogNormalLength(median, sigma, min, max);
    }
  }
}
