import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {EndpointHealth} from '../endpoint_health/endpoint_health.js';
import type {FleetGossip} from '../fleet/fleet_gossip.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {Quarantine} from '../quarantine/quarantine.js';
import type {EndpointSelection} from '../spread/endpoint_selection.js';
import type {MemoryReservations} from '../tickets/memory_reservations.js';
import type {AttemptEvidence} from '../types/attempt_evidence.js';
import type {AttemptFailure} from '../types/attempt_failure.js';
import type {CurrentAttempt} from './current_attempt.js';
import type {Dispatcher} from './dispatcher.js';
import type {ForwardedRequest} from './forwarded_request.js';
import type {LostEngines} from './lost_engines.js';
import {reportFailedAttempt} from './report_failed_attempt.js';
import type {RequestEnd} from './request_end.js';
import type {RetryBudget} from './retry_budget.js';
import {retryDenial} from './retry_denial.js';
import {stallTimeoutMs} from './stall_timeout.js';

/**
 * Time by which peers know of an engine that ended. Its request is answered
 * later, so that the caller's repeat does not reach a peer before the news.
 */
const PEERS_KNOW_AFTER_MS = 30;

/** Handles failed attempts: retries their requests or fails them. */
export interface AttemptFailures {
  /**
   * Retries the request on another endpoint, or fails it.
   * @param evidence undefined if this gateway itself ended the attempt
   */
  attemptFailed(
    ctx: GatewayContext,
    req: ForwardedRequest,
    current: CurrentAttempt,
    failure: AttemptFailure,
    detail: string,
    evidence?: AttemptEvidence,
  ): void;
  /** Sets an endpoint aside that cannot be reached, and tells peers. */
  endpointUnreachable(
    ctx: GatewayContext,
    endpoint: string,
    reason: string,
  ): void;
  /** Takes one retry from the budget if the request may be sent again. */
  tryTakeRetry(
    ctx: GatewayContext,
    req: ForwardedRequest,
    failure: AttemptFailure,
  ): boolean;
  /** Ends an attempt that has stalled for too long or lost its engine. */
  checkStalled(ctx: GatewayContext, req: ForwardedRequest): void;
}

/** Dependencies of the failure handling. */
export interface AttemptFailureParts {
  configuration: Pick<PublishedConfiguration, 'routes'>;
  selection: EndpointSelection;
  health: EndpointHealth;
  members: FleetMembers;
  gossip: FleetGossip;
  retryBudget: RetryBudget;
  reservations: Pick<MemoryReservations, 'release'>;
  quarantine: Pick<Quarantine, 'engineEnded' | 'withdrawn'>;
  lostEngines: Pick<LostEngines, 'hasLost'>;
  /** Whether an endpoint is expected to end. */
  isLeaving(endpoint: string): boolean;
  end: RequestEnd;
  dispatcher: Dispatcher;
}

/** Creates the failure handling. */
export function createAttemptFailures(
  parts: AttemptFailureParts,
): AttemptFailures {
  const {configuration, selection, health, members} = parts;
  const {gossip, retryBudget} = parts;
  const {reservations, quarantine, end, dispatcher} = parts;

  function attemptFailed(
    ctx: GatewayContext,
    req: ForwardedRequest,
    current: CurrentAttempt,
    failure: AttemptFailure,
    detail: string,
    evidence?: AttemptEvidence,
  ): void {
    const {main} = current.choice;
    req.history.failed(failure);
    req.failedEndpoints.add(main.id);
    gossip.workEnded(current.work);
    reservations.release(ctx, req.reqId);
    req.current = undefined;
    if (failure === 'connect_failed') {
      endpointUnreachable(ctx, main.id, failure);
    } else if (failure !== 'said_not_run' && failure !== 'rejected') {
      health.recordFailure(ctx, main.id, failure);
    }
    reportFailedAttempt(ctx, req, current, failure, detail, evidence);
    const isSuspect = recordEvidence(ctx, req, current, failure);
    if (failure === 'rejected') return end.fail(ctx, req, 'bad_request');
    if (tryTakeRetry(ctx, req, failure)) return dispatcher.dispatch(ctx, req);
    if (isSuspect) req.failsAtMs = ctx.nowMs + PEERS_KNOW_AFTER_MS;
    else end.failUnserved(ctx, req);
  }

  /**
   * An engine that ended may have ended because of the request.
   * @returns whether it may
   */
  function recordEvidence(
    ctx: GatewayContext,
    req: ForwardedRequest,
    {choice: {main}, startedMs, headMs, pieces}: CurrentAttempt,
    failure: AttemptFailure,
  ): boolean {
    const {parts: held, identify} = req.suspect;
    const unanswered = failure === 'disconnected' && !req.survived;
    const known = held.length > 0 || identify !== undefined;
    const isSuspect = unanswered && known && !parts.isLeaving(main.id);
    if (isSuspect) {
      quarantine.engineEnded(ctx, req.reqId, {
        endpoint: main.id,
        startedAtMs: main.startedAtMs,
        begun: headMs !== undefined && pieces === 0,
        writing: pieces > 0,
        parts: [...held],
        request: identify?.() ?? '',
        ranMs: Math.max(1, Math.round(ctx.nowMs - startedMs)),
      });
    }
    quarantine.withdrawn(ctx, req.reqId);
    return isSuspect;
  }

  function endpointUnreachable(
    ctx: GatewayContext,
    endpoint: string,
    reason: string,
  ): void {
    const pauseMs = health.recordFailure(ctx, endpoint, reason);
    const to = members.aliveAddresses(ctx.nowMs);
    if (to.length === 0) return;
    const message = {kind: 'endpoint_doubt', endpoint, pauseMs} as const;
    ctx.emit({kind: 'send_peers', to, message});
  }

  function tryTakeRetry(
    ctx: GatewayContext,
    req: ForwardedRequest,
    failure: AttemptFailure,
  ): boolean {
    const {nowMs} = ctx;
    // An attempt that never reached its endpoint takes nothing from the budget.
    const free = failure === 'connect_failed';
    const denial =
      retryDenial(req, configuration.routes(), nowMs) ??
      (free || retryBudget.tryTake(nowMs, req.service, members.knownCount())
        ? undefined
        : 'allowance_used');
    if (denial === undefined) return true;
    const fields = {reqId: req.reqId, attempt: req.attempts, denial};
    ctx.emit({kind: 'write_log', event: 'WL8304', fields});
    return false;
  }

  function checkStalled(ctx: GatewayContext, req: ForwardedRequest): void {
    const {current} = req;
    if (current && parts.lostEngines.hasLost(ctx, current)) {
      end.cancel(ctx, req);
      return attemptFailed(ctx, req, current, 'broken', 'engine lost');
    }
    const limitMs = stallTimeoutMs(req);
    if (!current || limitMs === undefined) return;
    const silentMs = ctx.nowMs - current.lastProgressMs;
    if (silentMs < limitMs) return;
    // An engine that prefills long prompts is expected to be silent.
    const prefillMs = selection.activePrefillMs(
      req.service,
      current.choice.main.id,
    );
    if (silentMs < limitMs + prefillMs) return;
    // Cancelling an attempt that cannot be retried gains nothing.
    if (retryDenial(req, configuration.routes(), ctx.nowMs)) return;
    current.lastProgressMs = ctx.nowMs;
    const gateways = members.knownCount();
    if (retryBudget.remaining(ctx.nowMs, req.service, gateways) < 1) return;
    end.cancel(ctx, req);
    attemptFailed(ctx, req, current, 'broken', 'silent');
  }

  return {attemptFailed, endpointUnreachable, tryTakeRetry, checkStalled};
}
