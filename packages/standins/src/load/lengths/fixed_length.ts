import {LengthDistribution} from './length_distribution.js';

/** All prompts have the same length. */
export class FixedLength extends LengthDistribution {
  constructor(private readonly tokens: number) {
    super();
  }

  override draw(): number {
    return this.tokens;
  }
}
