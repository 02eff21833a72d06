import type {AttemptFailure} from '../types/attempt_failure.js';
import type {OutcomeCode} from '../types/outcome_code.js';
import type {RequestState} from './request_state.js';
import type {RetryBudget} from './retry_budget.js';

/** A retry with less time than this before the deadline cannot succeed. */
const MIN_RETRY_MS = 100;

/**
 * Returns why no retry at `retryAtMs` follows a failed attempt. If one follows,
 * takes it from the budget and returns undefined.
 */
export function retryRefusal(
  state: RequestState,
  failure: AttemptFailure,
  nowMs: number,
  retryAtMs: number,
  budget: RetryBudget,
): OutcomeCode | undefined {
  if (failure === 'rejected') return 'endpoint_rejected';
  const canRepeat =
    state.idempotent || state.history.notRunProof() !== undefined;
  if (!canRepeat) return 'endpoint_broken';
  const remainingMs = state.entry.deadlineMs - retryAtMs;
  if (remainingMs < MIN_RETRY_MS) return 'endpoint_broken';
  return budget.tryTake(nowMs) ? undefined : 'retry_budget';
}
