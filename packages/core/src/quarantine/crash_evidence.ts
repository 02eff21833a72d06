import type {PartNews} from '../fleet/messages/part_news.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {CrashLedger} from './crash_ledger.js';
import type {CrashReport} from './crash_report.js';
import type {PartGossip} from './part_gossip.js';
import {createPartReviews} from './part_reviews.js';
import type {PartTrials} from './part_trials.js';
import {reportCrash, reportStanding} from './report_parts.js';
import type {Verdicts} from './verdicts.js';

/** A peer's answer this old proves nothing about a trial that runs. */
const MAX_PROOF_AGE_MS = 100;

/** Gathers what ending engines and answers tell about parts of prompts. */
export interface CrashEvidence {
  /** An engine has answered a prompt, which proves its parts. */
  answered(ctx: GatewayContext, held: readonly string[]): void;
  /** An engine ended before it had answered a prompt. */
  engineEnded(ctx: GatewayContext, report: CrashReport): void;
  /** A peer tells what it observed. */
  newsReceived(ctx: GatewayContext, from: string, news: PartNews): void;
  /** Judges the parts whose review is due. */
  review(ctx: GatewayContext): void;
}

/** Dependencies of the evidence. */
export interface CrashEvidenceParts {
  ledger: CrashLedger;
  trials: PartTrials;
  gossip: PartGossip;
  verdicts: Verdicts;
}

/** Creates evidence on which nothing is to be judged. */
export function createCrashEvidence(parts: CrashEvidenceParts): CrashEvidence {
  const {ledger, trials, gossip, verdicts} = parts;
  const reviews = createPartReviews();

  function answered(ctx: GatewayContext, held: readonly string[]): void {
    const doubted = held.filter(part => ledger.evidence(part) > 0);
    for (const part of held) ledger.proven(part, ctx.nowMs);
    trials.settle(held);
    // A verdict that is lifted may have covered that on the real cause.
    for (const part of verdicts.cleared(ctx, held)) {
      if (ledger.isSufficient(part)) verdicts.convict(ctx, part);
    }
    if (doubted.length === 0) return;
    for (const part of doubted) reportStanding(ctx, part, 'clear', 0, '');
    const proven = doubted.map(part => ({part, ageMs: 0}));
    gossip.tell(ctx, {proven});
  }

  function engineEnded(ctx: GatewayContext, report: CrashReport): void {
    reportCrash(ctx, report);
    gossip.tell(ctx, {crashes: [report]});
    const before = new Set(ledger.suspects(ctx.nowMs));
    for (const part of report.parts) reviews.observed(part);
    observe(ctx, report);
    for (const part of report.parts) {
      if (!before.has(part)) reportSuspicion(ctx, part);
    }
  }

  /** Peers that know of an answer may say so before a part is convicted. */
  function observe(ctx: GatewayContext, report: CrashReport): void {
    const {parts: held} = report;
    trials.settle(held);
    // A part that is known to end engines explains their end.
    if (held.some(part => verdicts.on(part)?.companions.length === 0)) return;
    ledger.record(ctx.nowMs, report);
    for (const part of held) {
      if (ledger.isSufficient(part)) reviews.schedule(part, ctx.nowMs);
    }
  }

  /** Convicts the parts with most evidence first: they explain that of others. */
  function review(ctx: GatewayContext): void {
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
    news: PartNews,
  ): void {
    for (const {part, ageMs} of news.proven) {
      ledger.proven(part, ctx.nowMs - ageMs);
      if (ageMs <= MAX_PROOF_AGE_MS) trials.settle([part]);
    }
    for (const report of news.crashes) {
      observe(ctx, report);
      vouch(ctx, from, report);
    }
    trials.settle(news.ended);
    for (const {endpoint, parts: tried} of news.trials) {
      trials.begin(ctx.nowMs, from, endpoint, tried);
    }
  }

  /** Tells a peer of parts that were answered here lately. */
  function vouch(ctx: GatewayContext, from: string, report: CrashReport): void {
    const proven = report.parts.flatMap(part => {
      const atMs = ledger.provenMs(ctx.nowMs, part);
      if (atMs === undefined) return [];
      return [{part, ageMs: Math.round(ctx.nowMs - atMs)}];
    });
    if (proven.length > 0) gossip.tell(ctx, {proven}, from);
  }

  return {answered, engineEnded, newsReceived, review};
}
