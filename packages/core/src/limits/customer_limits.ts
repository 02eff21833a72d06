import type {Result} from '../shared/result.js';
import type {CustomerRow} from '../types/customer_row.js';
import type {RouterContext} from '../router/router_context.js';
import type {LimitRefusal} from './limit_refusal.js';

/** Limits per customer over all routers. */
export interface CustomerLimits {
  /** Counts a request against the limits or refuses it. */
  admit(
    ctx: RouterContext,
    customer: CustomerRow,
    tokens: number,
  ): Result<void, LimitRefusal>;
  /** A request that was admitted has ended. */
  release(ctx: RouterContext, customer: string): void;
}
