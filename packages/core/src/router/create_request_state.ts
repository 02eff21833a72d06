import {createAttemptHistory} from '../requests/attempt_history.js';
import type {RequestState} from '../requests/request_state.js';
import type {ClassRow} from '../types/class_row.js';
import type {CustomerRow} from '../types/customer_row.js';
import type {RequestArrived} from './events/request_arrived.js';
import type {RouterContext} from './router_context.js';

/** Creates the state of a request that is admitted. */
export function createRequestState(
  ctx: RouterContext,
  event: RequestArrived,
  customer: CustomerRow,
  cls: ClassRow,
): RequestState {
  return {
    entry: {
      reqId: event.reqId,
      customer: customer.name,
      className: cls.name,
      service: cls.service,
      promptTokens: event.promptTokens,
      maxOutputTokens: event.maxOutputTokens,
      weight: cls.weight * customer.weight,
      priority: cls.priority,
      objective: cls.objective,
      arrivedMs: ctx.nowMs,
      deadlineMs: ctx.nowMs + cls.timeoutMs,
    },
    idempotent: cls.idempotent,
    prefixHashes: event.prefixHashes,
    idempotencyKey: event.idempotencyKey,
    phase: cls.idempotent ? 'queued' : 'claiming',
    attempt: 0,
    endpoint: '',
    nextSequence: 0,
    lastProgressMs: ctx.nowMs,
    retryAtMs: 0,
    firstTokenMs: undefined,
    choice: undefined,
    backoffs: 0,
    failedEndpoints: new Set(),
    history: createAttemptHistory(),
  };
}
