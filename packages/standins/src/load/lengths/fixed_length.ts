import {LengthDistribution} from './length_distribution.js';

/** Every prompt has the same length. */
export class FixedLength extends LengthDistribution {
  constructor(private readonly tokens: number) {
    super();
  }

  override draw(): number {
    return this.tokens;
  }
}
