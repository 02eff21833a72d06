import type {ClaimTrace} from '../../claims/claim_trace.js';
import type {ClaimVerdict} from '../../claims/claim_verdict.js';

/** A recorder's answer to a submission. */
export interface ClaimDecision {
  kind: 'claim_decision';
  claimId: string;
  verdict: ClaimVerdict;
  trace: ClaimTrace;
}
