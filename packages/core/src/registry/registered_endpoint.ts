import type {EndpointEntry} from './endpoint_entry.js';
import type {RegistrationState} from './registration_state.js';

/** An endpoint that is or was registered. */
export interface RegisteredEndpoint {
  entry: EndpointEntry;
  state: RegistrationState;
  /** Offset of the newest record of the id that has been applied. */
  offset: number;
  /** Steady clock; end of the warm-up, in the past without one. */
  warmUntilMs: number;
  /** Steady clock; when the state last changed. */
  sinceMs: number;
}
