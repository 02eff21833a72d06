import type {EndpointEntry} from '../registry/endpoint_entry.js';

/** Where a request goes, and why. */
export interface EndpointChoice {
  /** Endpoint that answers. */
  main: EndpointEntry;
  /** Engines that prefill parts of the prompt. */
  helpers: EndpointEntry[];
  /** Prompt tokens that each helper stores; 0 if `main` stores them all. */
  helperTokens: number;
  /** Delay before the request is sent, in milliseconds. */
  startInMs: number;
  /** Expected time to the first piece, or to the answer, in milliseconds. */
  expectedMs: number;
  /** Gap between two pieces on a healthy engine; 0 if not a stream. */
  baselineGapMs: number;
  /** Expected number of gaps of the whole stream; 0 if not a stream. */
  expectedGaps: number;
  /** Expected loss of value, see `requestValue`. */
  loss: number;
  /** Whether the request may have to wait for other work there. */
  queued: boolean;
  reason: string;
}
