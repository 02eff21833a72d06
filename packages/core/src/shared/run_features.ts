import type {DecisionNode} from '../types/decision_node.js';
import type {Feature} from '../types/feature.js';
import type {StepContext} from '../types/step_context.js';
import type {StepInput} from '../types/step_input.js';

/**
 * Combines features into one node. Due work is handled before the event, so
 * that a process that resumes after a pause does not act on overdue work.
 */
export function runFeatures<E extends {kind: string}, A>(
  features: Feature<E, A>[],
): DecisionNode<E, A> {
  type AnyHandler = (ctx: StepContext<A>, event: E) => void;
  let started = false;

  function step(input: StepInput<E>): A[] {
    const actions: A[] = [];
    const ctx: StepContext<A> = {
      nowMs: input.nowMs,
      wallMs: input.wallMs,
      random: input.random,
      emit: action => actions.push(action),
    };
    if (!started) {
      started = true;
      for (const feature of features) feature.start?.(ctx);
    }
    for (const feature of features) feature.expire?.(ctx);
    for (const feature of features) {
      const handler: unknown = feature.handlers[input.event.kind as E['kind']];
      (handler as AnyHandler | undefined)?.(ctx, input.event);
    }
    for (const feature of features) feature.settle?.(ctx);
    return actions;
  }

  return {step};
}
