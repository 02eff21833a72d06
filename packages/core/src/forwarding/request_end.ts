import type {FleetGossip} from '../fleet/fleet_gossip.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {Quarantine} from '../quarantine/quarantine.js';
import type {MemoryReservations} from '../tickets/memory_reservations.js';
import type {ForwardedRequest} from './forwarded_request.js';
import type {Refusal} from './refusal.js';
import {reportEnd} from './report_end.js';
import {RETRY_AFTER_MS} from './retry_after.js';
import type {WaitingRequests} from './waiting_requests.js';

/** Gives requests their final answers and releases what they hold. */
export interface RequestEnd {
  /** Answers with a failure by this gateway itself. */
  fail(ctx: GatewayContext, req: ForwardedRequest, refusal: Refusal): void;
  /**
   * Answers `overloaded` if the request is proven not run, else `broken`.
   * @param retryAfterMs when a repeat can be served, if that is known
   */
  failUnserved(
    ctx: GatewayContext,
    req: ForwardedRequest,
    retryAfterMs?: number,
  ): void;
  /** Removes and reports a request that has its final answer. */
  finish(
    ctx: GatewayContext,
    req: ForwardedRequest,
    outcome: string,
    detail: string,
  ): void;
  /** Cancels the running attempt. */
  cancel(ctx: GatewayContext, req: ForwardedRequest): void;
  /** Cancels a planned start and announces that its work has ended. */
  cancelPlannedStart(req: ForwardedRequest): void;
}

/** Dependencies of the end of requests. */
export interface RequestEndParts {
  requests: Map<string, ForwardedRequest>;
  waiting: Pick<WaitingRequests, 'leave'>;
  gossip: FleetGossip;
  reservations: Pick<MemoryReservations, 'release'>;
  quarantine: Pick<Quarantine, 'withdrawn'>;
}

/** Creates the handling of the end of requests. */
export function createRequestEnd(parts: RequestEndParts): RequestEnd {
  const {requests, waiting, gossip, reservations, quarantine} = parts;

  function cancelPlannedStart(req: ForwardedRequest): void {
    if (req.plannedStart) gossip.workEnded(req.plannedStart.work.id);
    req.plannedStart = undefined;
  }

  function finish(
    ctx: GatewayContext,
    req: ForwardedRequest,
    outcome: string,
    detail: string,
  ): void {
    if (req.current) gossip.workEnded(req.current.work);
    cancelPlannedStart(req);
    reservations.release(ctx, req.reqId);
    quarantine.withdrawn(ctx, req.reqId);
    waiting.leave(req);
    requests.delete(req.reqId);
    reportEnd(ctx, req, outcome, detail);
  }

  function fail(
    ctx: GatewayContext,
    req: ForwardedRequest,
    refusal: Refusal,
    retryAfterMs = RETRY_AFTER_MS,
  ): void {
    const {reqId} = req;
    if (req.streamStarted) ctx.emit({kind: 'break_stream', reqId});
    else {
      const overloaded = refusal === 'overloaded';
      ctx.emit({
        kind: 'refuse',
        reqId,
        refusal,
        retryAfterMs: overloaded ? retryAfterMs : undefined,
      });
    }
    finish(ctx, req, 'failed', refusal);
  }

  function failUnserved(
    ctx: GatewayContext,
    req: ForwardedRequest,
    retryAfterMs?: number,
  ): void {
    const refusal = req.history.notRunProof() ? 'overloaded' : 'broken';
    fail(ctx, req, refusal, retryAfterMs);
  }

  function cancel(ctx: GatewayContext, req: ForwardedRequest): void {
    if (!req.current) return;
    const {attempt} = req.current;
    ctx.emit({kind: 'cancel_attempt', reqId: req.reqId, attempt});
  }

  return {
    fail,
    failUnserved,
    finish,
    cancel,
    cancelPlannedStart,
  };
}
