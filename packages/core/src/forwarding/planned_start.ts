import type {Work} from '../fleet/work.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';

/** A request that waits until its engines have read what they have to. */
export interface PlannedStart {
  choice: EndpointChoice;
  /** Steady clock. */
  startMs: number;
  /** What peers know of it. */
  work: Work;
  /** Times that the start was put off. */
  postponements: number;
}
