import type {EngineContext} from './engine_context.js';
import type {EngineEvent} from './events/engine_event.js';

/** One handler for each kind of event. */
export type EngineHandlers = {
  [K in EngineEvent['kind']]: (
    ctx: EngineContext,
    event: Extract<EngineEvent, {kind: K}>,
  ) => void;
};
