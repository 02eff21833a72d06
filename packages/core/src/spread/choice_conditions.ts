import type {RandomSource} from '../types/random_source.js';

/** What a choice depends on besides the request and the endpoints. */
export interface ChoiceConditions {
  random: RandomSource;
  /**
   * Whether many gateways choose at the same time and learn of each other's
   * choices only after a while.
   */
  largeFleet: boolean;
  /** Whether this gateway may not know yet what others have in flight. */
  newlyStarted: boolean;
}
