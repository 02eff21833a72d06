import type {RandomSource} from './random_source.js';

/** What a feature may use while it handles one event. */
export interface StepContext<A> {
  /** Monotonic milliseconds. */
  readonly nowMs: number;
  /** Wall-clock milliseconds since the Unix epoch. */
  readonly wallMs: number;
  readonly random: RandomSource;
  /** Adds an action to the result of this step. */
  emit(action: A): void;
}
