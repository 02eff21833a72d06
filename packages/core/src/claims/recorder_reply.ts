import type {ClaimDecision} from '../router/messages/claim_decision.js';
import type {OutcomeReceipt} from '../router/messages/outcome_receipt.js';
import type {RouterContext} from '../router/router_context.js';

/** Carries a recorder's answers to owner routers. */
export type RecorderReply = (
  ctx: RouterContext,
  to: string,
  message: ClaimDecision | OutcomeReceipt,
) => void;
