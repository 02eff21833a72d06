import type {PlacerEvent} from './events/placer_event.js';
import type {PlacerContext} from './placer_context.js';

/** Event handlers by the kind of event. */
export type PlacerHandlers = {
  [K in PlacerEvent['kind']]: (
    ctx: PlacerContext,
    event: Extract<PlacerEvent, {kind: K}>,
  ) => void;
};
