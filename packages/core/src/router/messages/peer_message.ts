import type {ClaimDecision} from './claim_decision.js';
import type {ClaimSubmission} from './claim_submission.js';
import type {LimitDemand} from './limit_demand.js';
import type {LimitShare} from './limit_share.js';
import type {MembershipMessage} from './membership_message.js';
import type {OutcomeReceipt} from './outcome_receipt.js';
import type {OutcomeReport} from './outcome_report.js';
import type {TableOffset} from './table_offset.js';
import type {TablePull} from './table_pull.js';
import type {TableRecords} from './table_records.js';
import type {TableState} from './table_state.js';

/** Messages between routers; each is one-way. */
export type PeerMessage =
  | ClaimDecision
  | ClaimSubmission
  | LimitDemand
  | LimitShare
  | MembershipMessage
  | OutcomeReceipt
  | OutcomeReport
  | TableOffset
  | TablePull
  | TableRecords
  | TableState;
