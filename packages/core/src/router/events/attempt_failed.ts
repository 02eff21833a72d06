import type {AttemptFailure} from '../../types/attempt_failure.js';

/** An attempt ended without a whole answer. */
export interface AttemptFailed {
  kind: 'attempt_failed';
  reqId: string;
  attempt: number;
  failure: AttemptFailure;
  /** The endpoint is leaving, as its answer said. */
  leaving: boolean;
}
