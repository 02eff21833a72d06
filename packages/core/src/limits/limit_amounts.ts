import type {CustomerRow} from '../types/customer_row.js';
import type {LimitKind} from './limit_kind.js';

/** Requests per second, tokens per second and requests in flight. */
export type LimitAmounts = Record<LimitKind, number>;

/** Limits of a customer over all routers; 0 means unlimited. */
export function limitsOf(customer: CustomerRow): LimitAmounts {
  return {
    requests: customer.requestsPerSecond,
    tokens: customer.tokensPerSecond,
    concurrency: customer.maxConcurrent,
  };
}
