import type {EndpointChoice} from '../spread/endpoint_choice.js';

/** The running attempt of a request. */
export interface CurrentAttempt {
  attempt: number;
  choice: EndpointChoice;
  /** Id of this work in the gossip with peers. */
  work: number;
  /** Steady clock. */
  startedMs: number;
  /** Steady clock; time of the last progress. */
  lastProgressMs: number;
  /** Steady clock; arrival of the answer's head; undefined before it. */
  headMs: number | undefined;
  /** Shortest gap since the engine's slowdown was last observed. */
  shortestGapMs: number;
  /** Number of pieces that this attempt has delivered. */
  pieces: number;
}
