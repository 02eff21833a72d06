import type {Outcome} from '../../types/outcome.js';

/** Ends the caller's request. */
export interface Finish {
  kind: 'finish';
  reqId: string;
  outcome: Outcome;
}
