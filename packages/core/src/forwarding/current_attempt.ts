import type {EndpointChoice} from '../spread/endpoint_choice.js';

/** The attempt of a request that runs. */
export interface CurrentAttempt {
  attempt: number;
  choice: EndpointChoice;
  /** Number under which peers know this work. */
  work: number;
  /** Steady clock. */
  startedMs: number;
  /** Steady clock; of the last sign of progress. */
  progressMs: number;
  /** Shortest pause between two pieces of this attempt. */
  shortestGapMs: number;
  /** Pieces that this attempt has delivered. */
  pieces: number;
}
