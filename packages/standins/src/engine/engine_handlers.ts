import type {EngineContext} from './engine_context.js';
import type {EngineEvent} from './events/engine_event.js';

/** Event handlers by event kind. */
export type EngineHandlers = {
  [K in EngineEvent['kind']]: (
    ctx: EngineContext,
    event: Extract<EngineEvent, {kind: K}>,
  ) => void;
};
