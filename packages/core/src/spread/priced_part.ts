import type {EngineLoad} from '../engine_model/engine_load.js';
import type {Work} from '../fleet/work.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';

/** An engine and what a part of a prompt would do there. */
export interface PricedPart {
  entry: EndpointEntry;
  load: EngineLoad;
  /** Loss of each work that the part would delay. */
  delayLosses: Map<Work, number>;
  /** Sum of these losses. */
  delayLoss: number;
  /** Time to wait before the part is sent, in milliseconds. */
  startInMs: number;
  /** Time until the part is read if it is sent then. */
  readyMs: number;
}
