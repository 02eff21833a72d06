import type {RandomSource} from './random_source.js';

/** One event with the clocks and randomness for its handlers. */
export interface StepInput<E> {
  event: E;
  /** Monotonic milliseconds; the only clock for timeouts and leases. */
  nowMs: number;
  /** Wall-clock milliseconds since the Unix epoch; for key ages only. */
  wallMs: number;
  random: RandomSource;
}
