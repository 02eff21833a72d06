import type {GatewayAction} from '@wisterialadder/core/gateway/actions/gateway_action.js';

/** One handler for each kind of action. */
export type ActionHandlers = {
  [K in GatewayAction['kind']]: (
    action: Extract<GatewayAction, {kind: K}>,
  ) => void;
};

/** Passes an action to the handler of its kind. */
export function performAction(
  handlers: ActionHandlers,
  action: GatewayAction,
): void {
  const handler = handlers[action.kind] as (action: GatewayAction) => void;
  handler(action);
}
