import type {RouterContext} from '../router/router_context.js';
import type {Result} from '../shared/result.js';
import type {Outcome} from '../types/outcome.js';
import type {OutcomeCode} from '../types/outcome_code.js';
import type {ClaimRequest} from './claim_request.js';

/** Ownership of idempotency keys, decided by the order of the log. */
export interface Claims {
  /** Refuses a key that is missing, malformed, too old or from the future. */
  checkKey(ctx: RouterContext, key: string): Result<void, OutcomeCode>;
  /** Starts a claim; the verdict goes to the `ClaimListener`. */
  request(ctx: RouterContext, claim: ClaimRequest): void;
  /** Records how a request that was granted its claim has ended. */
  ended(ctx: RouterContext, reqId: string, outcome: Outcome): void;
  /** Number of recent outcomes not recorded yet; a drain waits for them. */
  unrecordedOutcomes(ctx: RouterContext): number;
}
