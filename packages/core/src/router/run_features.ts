import type {DecisionNode} from '../types/decision_node.js';
import type {StepInput} from '../types/step_input.js';
import type {RouterAction} from './actions/router_action.js';
import type {RouterEvent} from './events/router_event.js';
import type {RouterContext} from './router_context.js';
import type {RouterFeature} from './router_feature.js';

type AnyHandler = (ctx: RouterContext, event: RouterEvent) => void;

/**
 * Joins features into one node. What is due is judged before the event, so
 * that a process woken after a pause does not act on overdue work.
 */
export function runFeatures(
  features: RouterFeature[],
): DecisionNode<RouterEvent, RouterAction> {
  let started = false;

  function step(input: StepInput<RouterEvent>): RouterAction[] {
    const actions: RouterAction[] = [];
    const ctx: RouterContext = {
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
      const handler = feature.handlers[input.event.kind];
      (handler as AnyHandler | undefined)?.(ctx, input.event);
    }
    for (const feature of features) feature.settle?.(ctx);
    return actions;
  }

  return {step};
}
