import type {OutcomeCode} from '../types/outcome_code.js';
import type {ClaimVerdict} from './claim_verdict.js';

/** Verdicts that end a request. */
export type Refusal = Exclude<ClaimVerdict, 'granted' | 'released'>;

const CODES: Record<Refusal, OutcomeCode> = {
  completed: 'claim_already_done',
  unknown: 'claim_outcome_unknown',
  in_progress: 'claim_owned_in_progress',
  expired: 'key_expired',
  unavailable: 'log_unavailable',
};

/** Code of the outcome of a refused request. */
export function refusalCode(refusal: Refusal): OutcomeCode {
  return CODES[refusal];
}

/** Whether the code says that another request with the key may have run. */
export function isDuplicateCode(code: OutcomeCode): boolean {
  return code.startsWith('claim_');
}
