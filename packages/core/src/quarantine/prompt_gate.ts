import type {GatewayContext} from '../gateway/gateway_context.js';
import {causeKind} from './cause_kind.js';
import type {CauseLookup} from './cause_lookup.js';
import type {CauseTrials} from './cause_trials.js';
import type {CrashLedger} from './crash_ledger.js';
import type {PromptAdmission} from './prompt_admission.js';
import type {QuarantineEntry} from './quarantine_entry.js';
import type {QuarantineGossip} from './quarantine_gossip.js';
import {reportAdmission} from './report_quarantine.js';
import type {RequestEnds} from './request_ends.js';
import {deservesTrial} from './second_chance.js';
import type {SuspectRequest} from './suspect_request.js';
import type {Verdicts} from './verdicts.js';

/** Time after which peers are told again of a trial that still runs. */
const RENEWAL_MS = 1_000;

/** Lets requests through to engines, or not. */
export interface PromptGate {
  /** Decides whether a request may be sent; `trial` reserves its turn. */
  admit(ctx: GatewayContext, req: SuspectRequest): PromptAdmission;
  /** Whether a verdict keeps the request from engines. */
  refuses(req: SuspectRequest): boolean;
  /** A request is sent to an engine. */
  started(ctx: GatewayContext, req: SuspectRequest, endpoint: string): void;
  /** A request is on no engine any more, and nothing was learned from it. */
  withdrawn(ctx: GatewayContext, reqId: string): void;
  /** Tells peers of trials that still run. */
  renewTrials(ctx: GatewayContext): void;
}

/** Dependencies of the gate. */
export interface PromptGateParts {
  ledger: CrashLedger;
  ends: RequestEnds;
  causesOf: CauseLookup;
  trials: CauseTrials;
  gossip: QuarantineGossip;
  verdicts: Verdicts;
  /** Whether this gateway speaks to the store for the fleet. */
  isReader(nowMs: number): boolean;
  storeReachable(): boolean;
}

interface AnnouncedTrial {
  causes: string[];
  toldMs: number;
}

/** Creates a gate without trials of its own. */
export function createPromptGate(parts: PromptGateParts): PromptGate {
  const {ledger, ends, causesOf, trials, gossip, verdicts} = parts;
  /** Trials of this gateway that peers know of, by request. */
  const announced = new Map<string, AnnouncedTrial>();

  function admit(ctx: GatewayContext, req: SuspectRequest): PromptAdmission {
    const held = causesOf(req);
    const refusing = verdicts.refusing(held);
    const mayPass = refusing.every(entry => mayTryAgain(ctx, entry));
    const isReviewed = held.some(cause => ends.isUnderReview(ctx.nowMs, cause));
    if (mayPass && isReviewed) return 'wait';
    // Also without a verdict: its gateway may have ended before it.
    if (!mayPass || held.some(ends.isSufficient)) {
      reportAdmission(ctx, req.reqId, held, 'refuse');
      return 'refuse';
    }
    const doubtful = doubtfulOf(ctx, held);
    if (doubtful.length === 0) return 'send';
    if (trials.isBlocked(ctx.nowMs, req.reqId, doubtful)) return 'wait';
    trials.begin(ctx.nowMs, req.reqId, '', doubtful);
    return 'trial';
  }

  function doubtfulOf(ctx: GatewayContext, held: readonly string[]): string[] {
    return held.filter(cause => {
      if (verdicts.on(cause)) return true;
      return causeKind(cause) === 'part'
        ? ledger.isSuspected(ctx.nowMs, cause)
        : ends.isSuspected(cause);
    });
  }

  function mayTryAgain(ctx: GatewayContext, entry: QuarantineEntry): boolean {
    // Only one gateway, so that no two send one each.
    if (!parts.isReader(ctx.nowMs) || !parts.storeReachable()) return false;
    return deservesTrial(entry, ctx.wallMs);
  }

  function started(
    ctx: GatewayContext,
    req: SuspectRequest,
    endpoint: string,
  ): void {
    const causes = doubtfulOf(ctx, causesOf(req));
    if (causes.length === 0) return;
    reportAdmission(ctx, req.reqId, causes, 'trial');
    announce(ctx, req.reqId, endpoint, causes);
    verdicts.tried(ctx, causes);
  }

  function announce(
    ctx: GatewayContext,
    reqId: string,
    endpoint: string,
    causes: string[],
  ): void {
    trials.begin(ctx.nowMs, reqId, endpoint, causes);
    announced.set(reqId, {causes, toldMs: ctx.nowMs});
    gossip.tell(ctx, {trials: [{endpoint, causes}]});
  }

  /**
   * A long prompt is read for longer than a trial without news lasts. Only the
   * trials of requests are prolonged, as others wait for those of a part, and
   * without their engine, which is not to be avoided for so long.
   */
  function renewTrials(ctx: GatewayContext): void {
    for (const [reqId, {causes, toldMs}] of announced) {
      if (ctx.nowMs - toldMs < RENEWAL_MS) continue;
      const open = trials.heldBy(reqId);
      const running = causes.filter(
        cause => open.includes(cause) && causeKind(cause) === 'request',
      );
      if (running.length === 0) announced.delete(reqId);
      else announce(ctx, reqId, '', running);
    }
  }

  function withdrawn(ctx: GatewayContext, reqId: string): void {
    const ended = trials.end(reqId);
    if (!announced.delete(reqId) || ended.length === 0) return;
    gossip.tell(ctx, {ended});
  }

  return {
    admit,
    refuses: req => verdicts.refusing(causesOf(req)).length > 0,
    started,
    withdrawn,
    renewTrials,
  };
}
