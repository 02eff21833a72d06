import type {EndpointEntry} from './endpoint_entry.js';
import type {EndpointStanding} from './endpoint_standing.js';

/** An endpoint that is or was registered. */
export interface RegisteredEndpoint {
  entry: EndpointEntry;
  standing: EndpointStanding;
  /** Steady clock; since when the standing holds. */
  sinceMs: number;
}
