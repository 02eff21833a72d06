import type {EndpointEntry} from '../registry/endpoint_entry.js';

/** Where a request goes, and why. */
export interface EndpointChoice {
  /** Endpoint that answers. */
  main: EndpointEntry;
  /** Engines that read parts of the prompt. */
  helpers: EndpointEntry[];
  /** Tokens of the prompt that each helper stores; 0 if the main one does. */
  helperTokens: number;
  /** Time to wait until it is sent, in milliseconds. */
  startInMs: number;
  /** Expected time to the first piece, or to the answer, in milliseconds. */
  expectedMs: number;
  /** Pause between two pieces of a sound engine; 0 for no stream. */
  baselineGapMs: number;
  /** Expected loss of worth, see `requestValue`. */
  loss: number;
  reason: string;
}
