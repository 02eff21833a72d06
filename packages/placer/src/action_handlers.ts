import type {PlacerAction} from '@wisterialadder/core/placement/actions/placer_action.js';

/** One handler for each kind of action. */
export type ActionHandlers = {
  [K in PlacerAction['kind']]: (
    action: Extract<PlacerAction, {kind: K}>,
  ) => void;
};

/** Passes an action to the handler of its kind. */
export function performAction(
  handlers: ActionHandlers,
  action: PlacerAction,
): void {
  const handler = handlers[action.kind] as (action: PlacerAction) => void;
  handler(action);
}
