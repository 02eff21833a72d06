import type {AdminContext} from './admin_context.js';
import type {AdminEvent} from './admin_event.js';

/** One handler for each kind of event. */
export type AdminHandlers = {
  [K in AdminEvent['kind']]: (
    ctx: AdminContext,
    event: Extract<AdminEvent, {kind: K}>,
  ) => void;
};
