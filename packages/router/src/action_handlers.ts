import type {RouterAction} from '@wisterialadder/core/router/actions/router_action.js';

/** One handler for each kind of action. */
export type ActionHandlers = {
  [K in RouterAction['kind']]: (
    action: Extract<RouterAction, {kind: K}>,
  ) => void;
};

/** Calls the handler for the action's kind. */
export function performAction(
  handlers: ActionHandlers,
  action: RouterAction,
): void {
  const handler = handlers[action.kind] as (action: RouterAction) => void;
  handler(action);
}
