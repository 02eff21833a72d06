import type {EntryState} from './entry_state.js';

/** An endpoint's own registration. */
export interface EndpointEntry {
  /** Differs between most starts of an endpoint. */
  id: string;
  service: string;
  /** `IP:PORT`. */
  address: string;
  failureDomain: string;
  slots: number;
  state: EntryState;
  /** Remaining warm-up time at the registration, in milliseconds. */
  warmUpMs: number;
  /** Number of the registration since the endpoint's start. */
  sequence: number;
  /** Start time in Unix milliseconds; 0 if the endpoint does not give it. */
  startedAtMs: number;
}
