import type {ClaimDecision} from '../router/messages/claim_decision.js';
import type {OutcomeReceipt} from '../router/messages/outcome_receipt.js';
import type {RouterContext} from '../router/router_context.js';

/** Sends a recorder's answer to an owner router. */
export type ReplyToOwner = (
  ctx: RouterContext,
  to: string,
  message: ClaimDecision | OutcomeReceipt,
) => void;
