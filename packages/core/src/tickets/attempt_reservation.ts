import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {EngineReservation} from './engine_reservation.js';

/** The memory reservation for one attempt of a request. */
export interface AttemptReservation {
  reqId: string;
  /** Id of the reservation on every engine. */
  ticket: string;
  choice: EndpointChoice;
  engines: Map<string, EngineReservation>;
  /** Whether the attempt has been started. */
  attemptStarted: boolean;
}
