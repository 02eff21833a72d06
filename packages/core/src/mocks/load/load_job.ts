import type {StartAttempt} from '../../gateway/actions/start_attempt.js';
import type {GatewayEvent} from '../../gateway/events/gateway_event.js';
import type {LoadRequest} from './load_request.js';

/** An attempt on an endpoint of the load test. */
export interface LoadJob {
  key: string;
  action: StartAttempt;
  req: LoadRequest;
  reply(event: GatewayEvent): void;
  /** Parts of the prompt that are not prefilled yet. */
  openParts: number;
  /** Tokens of the prompt that the answering engine stores. */
  storedTokens: number;
  writtenTokens: number;
  pieces: number;
  open: boolean;
}
