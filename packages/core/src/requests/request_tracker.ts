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
  /** Adds a request whose phase is `claiming` or `queued`. */
  admit(ctx: RouterContext, state: RequestState): void;
  /** A claim was granted: the request may be dispatched. */
  claimGranted(ctx: RouterContext, reqId: string): void;
  get(reqId: string): RequestState | undefined;
  /** Number of requests that have not ended. */
  size(): number;
  all(): Iterable<RequestState>;
  /** Marks a queued request as waiting for its reservations. */
  markReserving(reqId: string): void;
  /** Requeues a request after a backoff, because a reservation was refused. */
  backOff(ctx: RouterContext, reqId: string): void;
  /** Ends a request without a complete answer. */
  abort(
    ctx: RouterContext,
    reqId: string,
    reason: EndReason,
    code: OutcomeCode,
    retryAfterMs?: number,
  ): void;
  /** Applies every timeout that has passed at the time of the step. */
  expire(ctx: RouterContext): void;
}
