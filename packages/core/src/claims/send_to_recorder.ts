import type {ClaimSubmission} from '../router/messages/claim_submission.js';
import type {OutcomeReport} from '../router/messages/outcome_report.js';
import type {RouterContext} from '../router/router_context.js';

/** Sends a message to the recorder of a key, which may be this router. */
export type SendToRecorder = (
  ctx: RouterContext,
  key: string,
  sends: number,
  message: ClaimSubmission | OutcomeReport,
) => void;
