import type {RandomSource} from './random_source.js';

/** Clocks, randomness and output of a feature during one step. */
export interface StepContext<A> {
  /** Monotonic milliseconds. */
  readonly nowMs: number;
  /** Wall-clock milliseconds since the Unix epoch. */
  readonly wallMs: number;
  readonly random: RandomSource;
  /** Adds an action to the result of this step. */
  emit(action: A): void;
}
