import type {ClaimDecision} from './claim_decision.js';
import type {ClaimSubmission} from './claim_submission.js';
import type {OutcomeReceipt} from './outcome_receipt.js';
import type {OutcomeReport} from './outcome_report.js';
import type {TableOffset} from './table_offset.js';

/** What routers say to each other; each is one-way. */
export type PeerMessage =
  | ClaimDecision
  | ClaimSubmission
  | OutcomeReceipt
  | OutcomeReport
  | TableOffset;
