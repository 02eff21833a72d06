import type {AttemptEvidence} from '../../types/attempt_evidence.js';
import type {AttemptFailure} from '../../types/attempt_failure.js';

/** An attempt ended without a complete answer. */
export interface AttemptFailed {
  kind: 'attempt_failed';
  reqId: string;
  attempt: number;
  failure: AttemptFailure;
  /** Address of another endpoint that is at fault; empty if none was named. */
  atFault: string;
  /** For the log. */
  detail: string;
  evidence: AttemptEvidence;
}
