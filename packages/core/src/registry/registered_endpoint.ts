import type {EndpointEntry} from './endpoint_entry.js';
import type {RegistrationState} from './registration_state.js';

/** An endpoint that is or was registered. */
export interface RegisteredEndpoint {
  entry: EndpointEntry;
  state: RegistrationState;
  /** Steady clock; when the state last changed. */
  sinceMs: number;
}
