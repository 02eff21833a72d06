import type {EngineLoad} from '../engine_model/engine_load.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';

/** An endpoint that may take a request. */
export interface EndpointCandidate {
  entry: EndpointEntry;
  /** Requests and prompt parts in flight there, from all gateways. */
  inFlight: number;
  /** Service time of the calls in flight at usual speed. */
  serviceMs: number;
  /** How many times slower than others of its service it is. */
  slowness: number;
  /** Set for model engines. */
  load: EngineLoad | undefined;
}
