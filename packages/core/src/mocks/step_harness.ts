import type {DecisionNode} from '../types/decision_node.js';
import type {RandomSource} from '../types/random_source.js';

/** Drives a node on a virtual clock. */
export interface StepHarness<E, A> {
  /** Advances the clock, then feeds one event. */
  step(event: E, advanceMs?: number): A[];
  nowMs(): number;
  /** Whether ticks may be rare from now on. */
  mayTickRarely(): boolean;
}

/** Creates a harness with the clock at `startMs` and a fixed seed. */
export function createStepHarness<E, A>(
  node: DecisionNode<E, A>,
  startMs = 1_000,
  random: RandomSource = createTestRandom(1),
): StepHarness<E, A> {
  let nowMs = startMs;
  return {
    step: (event, advanceMs = 0) => {
      nowMs += advanceMs;
      return node.step({event, nowMs, wallMs: 1.7e12 + nowMs, random});
    },
    nowMs: () => nowMs,
    mayTickRarely: () => node.mayTickRarely?.(nowMs) ?? false,
  };
}

/** Linear congruential generator for tests; the same on every run. */
export function createTestRandom(seed: number): RandomSource {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 4_294_967_296;
  };
}
