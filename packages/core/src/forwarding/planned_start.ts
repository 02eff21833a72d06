import type {Work} from '../fleet/work.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';

/** A start that waits until the engines have finished other prefills. */
export interface PlannedStart {
  choice: EndpointChoice;
  /** Steady clock. */
  startMs: number;
  /** The work as announced to peers. */
  work: Work;
  /** Number of times that the start was postponed. */
  postponements: number;
}
