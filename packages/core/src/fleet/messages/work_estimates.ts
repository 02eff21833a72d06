import type {WorkEstimate} from '../../work_model/work_estimate.js';

/** What a gateway has learned of the cost of requests. */
export interface WorkEstimates {
  kind: 'work_estimates';
  /** Whether the sender asks for all estimates of the receiver. */
  wantsAll: boolean;
  estimates: WorkEstimate[];
}
