import type {RouterContext} from '../router/router_context.js';
import type {OutcomeCode} from '../types/outcome_code.js';
import type {AttemptProgress} from './attempt_progress.js';
import type {EndReason} from './end_reason.js';
import type {RequestState} from './request_state.js';

/** Lifecycle of admitted requests. */
export interface RequestTracker extends Pick<
  AttemptProgress,
  'startAttempt' | 'delta' | 'ended' | 'failed'
> {
  /** Takes a request whose phase is `claiming` or `queued`. */
  admit(ctx: RouterContext, state: RequestState): void;
  /** A claim was granted: the request may be dispatched. */
  claimGranted(ctx: RouterContext, reqId: string): void;
  get(reqId: string): RequestState | undefined;
  /** Requests that have not ended. */
  size(): number;
  all(): Iterable<RequestState>;
  /** Marks a queued request as waiting for its reservations. */
  markReserving(reqId: string): void;
  /** Lets a request that could not be reserved for return to the queue later. */
  backOff(ctx: RouterContext, reqId: string): void;
  /** Ends a request without a whole answer. */
  abort(
    ctx: RouterContext,
    reqId: string,
    reason: EndReason,
    code: OutcomeCode,
    retryAfterMs?: number,
  ): void;
  /** Judges every timeout by the time of the step. */
  expire(ctx: RouterContext): void;
}
