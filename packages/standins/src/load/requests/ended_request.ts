import type {ObservedOutcome} from '../answers/observed_outcome.js';
import type {PlannedRequest} from './planned_request.js';

/** A request that has ended, with its outcome and times. */
export interface EndedRequest {
  request: PlannedRequest;
  outcome: ObservedOutcome;
  code: string;
  /** Time to first token; undefined without a token or for services. */
  firstTokenMs: number | undefined;
  totalMs: number;
}
