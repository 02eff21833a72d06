import type {Result} from '../shared/result.js';
import type {CustomerRow} from '../types/customer_row.js';
import type {RouterContext} from '../router/router_context.js';
import type {LimitRefusal} from './limit_refusal.js';

/** Enforces the limits of each customer over all routers. */
export interface CustomerLimits {
  /** Counts a request against the limits or refuses it. */
  admit(
    ctx: RouterContext,
    customer: CustomerRow,
    tokens: number,
  ): Result<void, LimitRefusal>;
  /** Called when an admitted request has ended. */
  release(ctx: RouterContext, customer: string): void;
}
