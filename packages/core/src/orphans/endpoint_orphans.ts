import type {OrphanSession} from './orphan_session.js';

/** Orphans of one incarnation of an endpoint. */
export interface EndpointOrphans {
  incarnation: string;
  /** Monotonic time of the last report. */
  reportMs: number;
  /** By session id. */
  sessions: Map<string, OrphanSession>;
}
