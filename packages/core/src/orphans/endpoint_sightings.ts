import type {SessionSighting} from './session_sighting.js';

/** Orphans of one start of an endpoint. */
export interface EndpointSightings {
  incarnation: string;
  /** Monotonic time of the last report. */
  reportMs: number;
  /** By session id. */
  sessions: Map<string, SessionSighting>;
}
