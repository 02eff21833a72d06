import type {StartAttempt} from '../gateway/actions/start_attempt.js';
import type {GatewayEvent} from '../gateway/events/gateway_event.js';

/** An attempt on an engine of a fleet test. */
export interface RunningAttempt {
  /** Gateway, request and number of the attempt. */
  key: string;
  /** Equal for all repeats of the request. */
  digest: string;
  /** Whether the engine still answers it. */
  open: boolean;
  reply(event: GatewayEvent): void;
  action: StartAttempt;
}
