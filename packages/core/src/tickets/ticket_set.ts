import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {TicketHolding} from './ticket_holding.js';

/** All memory that is set aside for one attempt of a request. */
export interface TicketSet {
  reqId: string;
  /** Id of the memory on every engine. */
  ticket: string;
  choice: EndpointChoice;
  holdings: Map<string, TicketHolding>;
  /** Whether the attempt has been started. */
  used: boolean;
}
