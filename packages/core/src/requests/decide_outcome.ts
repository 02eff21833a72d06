import type {Outcome} from '../types/outcome.js';
import type {OutcomeCode} from '../types/outcome_code.js';
import type {AttemptHistory} from './attempt_history.js';
import type {EndReason} from './end_reason.js';

/** Returns the outcome of a request without a complete answer. */
export function decideOutcome(
  history: AttemptHistory,
  idempotent: boolean,
  reason: EndReason,
  code: OutcomeCode,
  retryAfterMs?: number,
): Outcome {
  // After "not run" the caller may repeat the request with a new key.
  if (reason === 'duplicate') return {kind: 'outcome_unknown', code};
  const proof = history.notRunProof();
  if (proof) {
    const notRunCode = reason === 'timeout' ? 'queue_timeout' : code;
    return {kind: 'rejected_not_run', proof, code: notRunCode, retryAfterMs};
  }
  if (!idempotent) return {kind: 'outcome_unknown', code};
  return {kind: reason === 'timeout' ? 'timed_out' : 'failed', code};
}
