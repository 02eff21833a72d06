import type {RouterAction} from '@wisterialadder/core/router/actions/router_action.js';

/** Handlers registered by the kind of action. */
export type ActionHandlers = {
  [K in RouterAction['kind']]: (
    action: Extract<RouterAction, {kind: K}>,
  ) => void;
};

/** Passes an action to the handler of its kind. */
export function performAction(
  handlers: ActionHandlers,
  action: RouterAction,
): void {
  const handler = handlers[action.kind] as (action: RouterAction) => void;
  handler(action);
}
