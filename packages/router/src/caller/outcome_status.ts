import type {Outcome} from '@wisterialadder/core/types/outcome.js';
import type {OutcomeCode} from '@wisterialadder/core/types/outcome_code.js';

const NOT_RUN_STATUS: Partial<Record<OutcomeCode, number>> = {
  bad_request: 400,
  key_missing: 400,
  key_invalid: 400,
  key_expired: 400,
  not_authorized: 401,
  unknown_customer: 401,
  unknown_class: 404,
  unknown_service: 404,
  prompt_too_long: 413,
  limit_concurrency: 429,
  limit_requests: 429,
  limit_tokens: 429,
};

/** Codes that mean another request claimed the same idempotency key. */
const DUPLICATE_CODES: ReadonlySet<OutcomeCode> = new Set<OutcomeCode>([
  'claim_owned_in_progress',
  'claim_already_done',
  'claim_outcome_unknown',
]);

const SERVICE_UNAVAILABLE = 503;

/** HTTP status of an outcome. */
export function outcomeStatus(outcome: Outcome): number {
  switch (outcome.kind) {
    case 'completed':
      return 200;
    case 'rejected_not_run':
      return NOT_RUN_STATUS[outcome.code] ?? SERVICE_UNAVAILABLE;
    case 'failed':
      return 502;
    case 'outcome_unknown':
      return DUPLICATE_CODES.has(outcome.code) ? 409 : 500;
    case 'timed_out':
      return 504;
  }
}
