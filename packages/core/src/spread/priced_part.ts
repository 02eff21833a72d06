import type {EngineLoad} from '../engine_model/engine_load.js';
import type {Work} from '../fleet/work.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';

/** An engine and the estimated effect of a prompt part there. */
export interface PricedPart {
  entry: EndpointEntry;
  load: EngineLoad;
  /** Loss by the delay of each other work on the engine. */
  delayLosses: Map<Work, number>;
  /** Sum of these losses. */
  delayLoss: number;
  /** Delay before the part is sent, in milliseconds. */
  startInMs: number;
  /** Time until the part is prefilled if it is sent then. */
  readyMs: number;
}
