import type {RouterContext} from '../router/router_context.js';
import type {OutcomeCode} from '../types/outcome_code.js';

/** Receives the verdict of a claim, once for each request. */
export interface ClaimListener {
  /** The request owns its key and may be dispatched once. */
  granted(ctx: RouterContext, reqId: string): void;
  /** The request must not be dispatched. */
  refused(ctx: RouterContext, reqId: string, code: OutcomeCode): void;
}
