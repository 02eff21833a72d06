import type {GatewayContext} from '../gateway/gateway_context.js';
import type {CrashLedger} from './crash_ledger.js';
import {engineStart, type CrashReport} from './crash_report.js';
import type {EndedEngines} from './ended_engines.js';
import type {QuarantineGossip} from './quarantine_gossip.js';
import {reportStanding} from './report_quarantine.js';
import type {RequestEnds} from './request_ends.js';
import type {Verdicts} from './verdicts.js';

/** Time for parts to be judged first: one may explain all ends. */
const REVIEW_AFTER_MS = 60;

/** Judges the requests of this gateway under which engines end. */
export interface RequestReviews {
  /** Records the end of an engine; returns what peers are to be told. */
  ended(
    ctx: GatewayContext,
    report: Pick<CrashReport, 'endpoint' | 'startedAtMs' | 'request' | 'ranMs'>,
  ): EndedEngines[];
  /** Tells again of the newest ends, and judges requests that are due. */
  review(ctx: GatewayContext): void;
}

/** Dependencies of the reviews. */
export interface RequestReviewParts {
  ledger: CrashLedger;
  ends: RequestEnds;
  gossip: QuarantineGossip;
  verdicts: Verdicts;
}

/** Creates reviews of which none is due. */
export function createRequestReviews(
  parts: RequestReviewParts,
): RequestReviews {
  const {ledger, ends, gossip, verdicts} = parts;
  const unrepeated = new Set<string>();
  /** Steady clock; requests that must reach no engine any more. */
  const dueMs = new Map<string, number>();

  function ended(
    ctx: GatewayContext,
    report: Parameters<RequestReviews['ended']>[1],
  ): EndedEngines[] {
    const {request, ranMs} = report;
    if (request === '') return [];
    const {nowMs} = ctx;
    ends.record(nowMs, request, engineStart(report), nowMs - ranMs);
    const engines = ends.enginesOf(request);
    const names = engines.join(' ');
    reportStanding(ctx, request, 'suspected', engines.length, names);
    unrepeated.add(request);
    if (ends.isSufficient(request)) dueMs.set(request, nowMs + REVIEW_AFTER_MS);
    return ends.tell(nowMs, request);
  }

  /** A message may be lost, and the request comes at another gateway next. */
  function tellAgain(ctx: GatewayContext): void {
    if (unrepeated.size === 0) return;
    const requests = [...unrepeated];
    unrepeated.clear();
    const endedEngines = requests.flatMap(req => ends.tell(ctx.nowMs, req));
    if (endedEngines.length > 0) gossip.tell(ctx, {endedEngines});
  }

  function judge(ctx: GatewayContext, request: string): void {
    if (!ends.isSufficient(request)) return;
    if (!ledger.explainsAll(ends.enginesOf(request))) {
      return verdicts.convict(ctx, request);
    }
    ends.forget(request);
    reportStanding(ctx, request, 'clear', 0, '');
    gossip.tell(ctx, {proven: [{cause: request, ageMs: 0}]});
  }

  return {
    ended,
    review: ctx => {
      tellAgain(ctx);
      for (const [request, atMs] of dueMs) {
        if (atMs > ctx.nowMs) continue;
        dueMs.delete(request);
        judge(ctx, request);
      }
    },
  };
}
