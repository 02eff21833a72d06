import type {ClaimLogState} from '../../claims/claim_log_state.js';
import type {ClaimVerdict} from '../../claims/claim_verdict.js';

/** A recorder's answer to a submission. */
export interface ClaimDecision {
  kind: 'claim_decision';
  claimId: string;
  verdict: ClaimVerdict;
  trace: ClaimLogState;
}
