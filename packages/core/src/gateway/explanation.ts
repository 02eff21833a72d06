import type {ExplainedEndpoint} from '../spread/explained_endpoint.js';

/** What a gateway would do with a request now. */
export type ExplainedDecision =
  'send' | 'wait_or_refuse' | 'unknown_route' | 'quarantined';

/** Where a described request would go now, and why. */
export interface Explanation {
  decision: ExplainedDecision;
  service: string;
  /** Expected tokens of the answer, as learned. */
  outputTokens: number;
  /** Expected service time of a call; 0 for streams. */
  serviceMs: number;
  /** Engine or plain endpoint that would answer; empty for none. */
  main: string;
  helpers: string[];
  startInMs: number;
  expectedMs: number;
  loss: number;
  reason: string;
  endpoints: ExplainedEndpoint[];
}
