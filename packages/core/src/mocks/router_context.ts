import type {RouterAction} from '../router/actions/router_action.js';
import type {RouterContext} from '../router/router_context.js';
import {createTestRandom} from './step_harness.js';

/** A context that records the actions of one feature under test. */
export interface RecordedContext extends RouterContext {
  actions: RouterAction[];
}

/** Creates a context at a time of the virtual clock. */
export function recordedContext(nowMs = 1_000): RecordedContext {
  const actions: RouterAction[] = [];
  return {
    nowMs,
    wallMs: 1.7e12 + nowMs,
    random: createTestRandom(1),
    actions,
    emit: action => actions.push(action),
  };
}
