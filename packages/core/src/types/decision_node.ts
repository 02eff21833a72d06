import type {StepInput} from './step_input.js';

/** A synchronous state machine: one typed event in, typed actions out. */
export interface DecisionNode<E, A> {
  step(input: StepInput<E>): A[];
  /**
   * Whether other events cause steps so often that ticks may be rare. Absent:
   * never.
   */
  mayTickRarely?(nowMs: number): boolean;
}
