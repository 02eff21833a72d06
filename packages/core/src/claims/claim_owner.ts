import type {ClaimDecision} from '../router/messages/claim_decision.js';
import type {RouterContext} from '../router/router_context.js';
import type {Outcome} from '../types/outcome.js';
import type {ClaimEntry} from './claim_entry.js';
import {claimKey} from './claim_key.js';
import type {ClaimListener} from './claim_listener.js';
import type {ClaimRequest} from './claim_request.js';
import type {ClaimsConfig} from './claims_config.js';
import type {OutcomeOutbox} from './outcome_outbox.js';
import type {OwnedClaim} from './owned_claim.js';
import type {RecordedOutcome} from './recorded_outcome.js';
import type {SendToRecorder} from './send_to_recorder.js';
import {refusalCode, type Refusal} from './refusal_code.js';
import {resendDelayMs} from './resend_delay_ms.js';

/** Manages the claims that this router makes for its own requests. */
export interface ClaimOwner {
  request(ctx: RouterContext, claim: ClaimRequest): void;
  decided(ctx: RouterContext, decision: ClaimDecision): void;
  ended(ctx: RouterContext, reqId: string, outcome: Outcome): void;
  /** Resends claims that were not answered in time. */
  expire(ctx: RouterContext): void;
}

/** Dependencies of a claim owner. */
export interface ClaimOwnerParts {
  cfg: ClaimsConfig;
  send: SendToRecorder;
  outbox: OutcomeOutbox;
  listener: ClaimListener;
}

/** Creates an owner without claims. */
export function createClaimOwner(parts: ClaimOwnerParts): ClaimOwner {
  const {cfg, send, outbox, listener} = parts;
  const byClaim = new Map<string, OwnedClaim>();
  const byRequest = new Map<string, OwnedClaim>();
  let claimCount = 0;

  function request(ctx: RouterContext, claim: ClaimRequest): void {
    const key = claimKey(claim.customer, claim.idempotencyKey);
    const owned: OwnedClaim = {
      reqId: claim.reqId,
      entry: newEntry(key, claim.timeoutMs),
      phase: 'pending',
      requestedMs: ctx.nowMs,
      deadlineMs: ctx.nowMs + claim.timeoutMs,
      sends: 0,
      resendMs: 0,
    };
    byRequest.set(claim.reqId, owned);
    byClaim.set(owned.entry.claimId, owned);
    transmit(ctx, owned);
  }

  function newEntry(key: string, timeoutMs: number): ClaimEntry {
    const {address, incarnation} = cfg;
    return {
      type: 'claim',
      claimId: `${address}#${incarnation}-${claimCount++}`,
      key,
      owner: address,
      incarnation,
      timeoutMs,
    };
  }

  function transmit(ctx: RouterContext, owned: OwnedClaim): void {
    const {entry} = owned;
    const sends = owned.sends++;
    owned.resendMs = ctx.nowMs + resendDelayMs(owned.sends);
    send(ctx, entry.key, sends, {kind: 'claim_submission', claim: entry});
  }

  /**
   * Applies the first decision of a pending claim. Decisions for other claims
   * are ignored: a claim of an ended request has been recorded as not run, and
   * a claim of an earlier incarnation may have been dispatched.
   */
  function decided(ctx: RouterContext, decision: ClaimDecision): void {
    const owned = byClaim.get(decision.claimId);
    if (!owned || owned.phase !== 'pending') return;
    const {verdict} = decision;
    if (verdict === 'granted') {
      owned.phase = 'granted';
      reportVerdict(ctx, owned, decision);
      listener.granted(ctx, owned.reqId);
    } else if (verdict === 'released') {
      submitNewClaim(ctx, owned);
    } else {
      refuse(ctx, owned, decision, verdict);
    }
  }

  function submitNewClaim(ctx: RouterContext, owned: OwnedClaim): void {
    const timeoutMs = Math.max(0, owned.deadlineMs - ctx.nowMs);
    byClaim.delete(owned.entry.claimId);
    owned.entry = newEntry(owned.entry.key, timeoutMs);
    owned.sends = 0;
    byClaim.set(owned.entry.claimId, owned);
    transmit(ctx, owned);
  }

  function refuse(
    ctx: RouterContext,
    owned: OwnedClaim,
    decision: ClaimDecision,
    refusal: Refusal,
  ): void {
    removeClaim(owned);
    reportVerdict(ctx, owned, decision);
    // Another recorder may still append a claim that was sent more than once.
    const mayOwn =
      decision.trace === 'possible' ||
      (decision.trace === 'absent' && owned.sends > 1);
    if (mayOwn) outbox.post(ctx, owned.entry, 'not_run');
    listener.refused(ctx, owned.reqId, refusalCode(refusal));
  }

  function reportVerdict(
    ctx: RouterContext,
    owned: OwnedClaim,
    {verdict}: ClaimDecision,
  ): void {
    const {reqId, sends, requestedMs, entry} = owned;
    const waitMs = ctx.nowMs - requestedMs;
    const fields = {reqId, claimId: entry.claimId, verdict, sends, waitMs};
    ctx.emit({kind: 'write_log', event: 'WL3001', fields});
    ctx.emit({
      kind: 'observe',
      metric: 'claims_total',
      labels: {verdict},
      value: 1,
    });
    ctx.emit({
      kind: 'observe',
      metric: 'claim_wait_ms',
      labels: {},
      value: waitMs,
    });
  }

  function ended(ctx: RouterContext, reqId: string, outcome: Outcome): void {
    const owned = byRequest.get(reqId);
    if (!owned) return;
    removeClaim(owned);
    outbox.post(ctx, owned.entry, recordedOutcome(outcome));
  }

  function removeClaim(owned: OwnedClaim): void {
    byRequest.delete(owned.reqId);
    byClaim.delete(owned.entry.claimId);
  }

  function expire(ctx: RouterContext): void {
    for (const owned of [...byClaim.values()]) {
      if (owned.phase !== 'pending' || ctx.nowMs < owned.resendMs) continue;
      transmit(ctx, owned);
    }
  }

  return {request, decided, ended, expire};
}

function recordedOutcome(outcome: Outcome): RecordedOutcome {
  if (outcome.kind === 'completed') return 'completed';
  return outcome.kind === 'rejected_not_run' ? 'not_run' : 'unknown';
}
