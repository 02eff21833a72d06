import type {ClaimEntry} from '../../claims/claim_entry.js';

/** Asks a recorder for the verdict of a claim; may be sent again. */
export interface ClaimSubmission {
  kind: 'claim_submission';
  claim: ClaimEntry;
}
