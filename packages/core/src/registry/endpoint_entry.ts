import type {EntryState} from './entry_state.js';

/** One endpoint as it registers itself. */
export interface EndpointEntry {
  /** Differs between most starts of an endpoint. */
  id: string;
  service: string;
  /** `IP:PORT`. */
  address: string;
  failureDomain: string;
  slots: number;
  state: EntryState;
  /** How much longer it stays slow after its start, in milliseconds. */
  warmUpMs: number;
  /** Counts what the endpoint has registered since its start. */
  sequence: number;
  /** Unix milliseconds of its start; 0 if it does not say. */
  startedAtMs: number;
}
