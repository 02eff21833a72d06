import type {AdminAction} from '@wisterialadder/core/administration/admin_action.js';

/** One handler for each kind of action. */
export type ActionHandlers = {
  [K in AdminAction['kind']]: (action: Extract<AdminAction, {kind: K}>) => void;
};

/** Passes an action to the handler of its kind. */
export function performAction(
  handlers: ActionHandlers,
  action: AdminAction,
): void {
  const handler = handlers[action.kind] as (action: AdminAction) => void;
  handler(action);
}
