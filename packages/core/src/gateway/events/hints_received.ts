import type {EndpointHints} from '../../endpoint_hints/endpoint_hints.js';

/** The answer to an attempt says something about its endpoint. */
export interface HintsReceived {
  kind: 'hints_received';
  reqId: string;
  attempt: number;
  hints: EndpointHints;
}
