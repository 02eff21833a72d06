import type {CrashNews} from '../fleet/messages/crash_news.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import {causeKind} from './cause_kind.js';
import type {CauseTrials} from './cause_trials.js';
import type {CrashLedger} from './crash_ledger.js';
import type {CrashReport} from './crash_report.js';
import {createPartReviews} from './part_reviews.js';
import type {QuarantineGossip} from './quarantine_gossip.js';
import {reportCrash, reportStanding} from './report_quarantine.js';
import type {RequestEnds} from './request_ends.js';
import {createRequestReviews} from './request_reviews.js';
import type {Verdicts} from './verdicts.js';

/** A peer's answer this old proves nothing about a trial that runs. */
const MAX_PROOF_AGE_MS = 100;

/** What the attempt under which an engine ended tells. */
export type EngineEnd = Omit<CrashReport, 'onTrial'>;

/** Gathers what ending engines and answers tell about their causes. */
export interface CrashEvidence {
  /** An engine has answered a request, which proves its causes sound. */
  answered(ctx: GatewayContext, held: readonly string[]): void;
  /** An engine ended before it had answered a request. */
  engineEnded(ctx: GatewayContext, reqId: string, end: EngineEnd): void;
  /** A peer tells what it observed. */
  newsReceived(ctx: GatewayContext, from: string, news: CrashNews): void;
  /** Judges the causes whose review is due. */
  review(ctx: GatewayContext): void;
}

/** Dependencies of the evidence. */
export interface CrashEvidenceParts {
  ledger: CrashLedger;
  ends: RequestEnds;
  trials: CauseTrials;
  gossip: QuarantineGossip;
  verdicts: Verdicts;
}

/** Creates evidence on which nothing is to be judged. */
export function createCrashEvidence(parts: CrashEvidenceParts): CrashEvidence {
  const {ledger, ends, trials, gossip, verdicts} = parts;
  const reviews = createPartReviews();
  const requestReviews = createRequestReviews(parts);

  function answered(ctx: GatewayContext, held: readonly string[]): void {
    const doubted = held.filter(
      cause => ledger.evidence(cause) > 0 || ends.isSuspected(cause),
    );
    for (const cause of held) proven(cause, ctx.nowMs);
    trials.settle(held);
    // A verdict that is lifted may have covered that on the real cause.
    for (const part of verdicts.cleared(ctx, held)) {
      if (ledger.isSufficient(part)) verdicts.convict(ctx, part);
    }
    if (doubted.length === 0) return;
    for (const cause of doubted) reportStanding(ctx, cause, 'clear', 0, '');
    gossip.tell(ctx, {proven: doubted.map(cause => ({cause, ageMs: 0}))});
  }

  function proven(cause: string, atMs: number): void {
    if (causeKind(cause) === 'part') ledger.proven(cause, atMs);
    else ends.proven(cause, atMs);
  }

  function engineEnded(
    ctx: GatewayContext,
    reqId: string,
    end: EngineEnd,
  ): void {
    const tried = trials.heldBy(reqId);
    const onTrial = end.parts.some(part => tried.includes(part));
    const report = {...end, onTrial};
    reportCrash(ctx, report);
    const endedEngines = requestReviews.ended(ctx, report);
    gossip.tell(ctx, {crashes: [report], endedEngines});
    const before = new Set(ledger.suspects(ctx.nowMs));
    for (const part of report.parts) reviews.observed(part);
    observe(ctx, report);
    for (const part of report.parts) {
      if (!before.has(part)) reportSuspicion(ctx, part);
    }
  }

  /** Peers that know of an answer may say so before a part is convicted. */
  function observe(ctx: GatewayContext, report: CrashReport): void {
    const {parts: held, request} = report;
    const causes = [...held, request];
    trials.settle(causes);
    // What is known to end engines explains their end.
    const known = causes.find(
      cause => verdicts.on(cause)?.companions.length === 0,
    );
    if (known !== undefined) return ledger.attribute(ctx.nowMs, report, known);
    ledger.record(ctx.nowMs, report);
    for (const part of held) {
      if (!ledger.isSufficient(part)) continue;
      reviews.schedule(part, ctx.nowMs, ledger.wasProven(part));
    }
  }

  /** Convicts parts with most evidence first: they explain that of others. */
  function reviewParts(ctx: GatewayContext): void {
    const due = reviews.takeDue(ctx.nowMs);
    due.sort((a, b) => ledger.evidence(b) - ledger.evidence(a));
    for (const part of due) {
      if (ledger.isSufficient(part) && !isCovered(part)) {
        verdicts.convict(ctx, part);
      }
    }
  }

  /** Whether another verdict keeps the same prompts from engines. */
  function isCovered(part: string): boolean {
    if (verdicts.on(part)) return false;
    const held = [part, ...ledger.companions(part)];
    return verdicts
      .refusing(held)
      .some(({companions}) => companions.includes(part));
  }

  function reportSuspicion(ctx: GatewayContext, part: string): void {
    if (!ledger.isSuspected(ctx.nowMs, part)) return;
    const evidence = ledger.evidence(part);
    reportStanding(ctx, part, 'suspected', evidence, ledger.enginesOf(part));
  }

  function newsReceived(
    ctx: GatewayContext,
    from: string,
    news: CrashNews,
  ): void {
    const {nowMs} = ctx;
    for (const {cause, ageMs} of news.proven) {
      proven(cause, nowMs - ageMs);
      if (ageMs <= MAX_PROOF_AGE_MS) trials.settle([cause]);
    }
    for (const told of news.endedEngines) ends.merge(nowMs, told);
    for (const report of news.crashes) {
      observe(ctx, report);
      vouch(ctx, from, report);
    }
    trials.settle(news.ended);
    for (const {endpoint, causes} of news.trials) {
      trials.begin(nowMs, from, endpoint, causes);
    }
  }

  /** Tells a peer of parts that were answered here lately. */
  function vouch(ctx: GatewayContext, from: string, report: CrashReport): void {
    const answers = report.parts.flatMap(part => {
      const atMs = ledger.provenMs(ctx.nowMs, part);
      if (atMs === undefined) return [];
      return [{cause: part, ageMs: Math.round(ctx.nowMs - atMs)}];
    });
    if (answers.length > 0) gossip.tell(ctx, {proven: answers}, from);
  }

  return {
    answered,
    engineEnded,
    newsReceived,
    review: ctx => {
      reviewParts(ctx);
      requestReviews.review(ctx);
    },
  };
}
