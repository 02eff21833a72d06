import type {EndedRequest} from '../requests/ended_request.js';
import type {PlannedRequest} from '../requests/planned_request.js';
import type {Baseline} from './baseline.js';
import type {ClassResult} from './class_result.js';
import type {CustomerResult} from './customer_result.js';
import {jainIndex} from './fairness.js';
import type {IdempotencyAudit} from './idempotency_audit.js';
import {
  LENGTH_DECADES,
  lengthDecade,
  type LengthDecade,
} from './length_decade.js';
import type {LoadResult} from './load_result.js';
import {createHistogram, type Histogram} from './histogram.js';
import {
  createGroupStatistics,
  type GroupStatistics,
} from './group_statistics.js';

/** Statistics of the load phase. */
export interface Statistics {
  sent(request: PlannedRequest): void;
  notSent(): void;
  ended(request: EndedRequest): void;
  result(durationMs: number): LoadResult;
}

/** Creates empty statistics; slowdown is relative to `baseline`. */
export function createStatistics(
  baseline: Baseline,
  audit: IdempotencyAudit,
  shortTokens: number,
): Statistics {
  const all = createGroupStatistics();
  const classes = new Map<string, GroupStatistics>();
  const customers = new Map<string, GroupStatistics>();
  const decades = new Map<LengthDecade, Histogram>();
  const slowdown = createHistogram();
  let notSent = 0;

  function groupsOf({className, customer}: PlannedRequest): GroupStatistics[] {
    return [
      all,
      getOrCreate(classes, className),
      getOrCreate(customers, customer),
    ];
  }

  function getOrCreate(
    groups: Map<string, GroupStatistics>,
    name: string,
  ): GroupStatistics {
    const found = groups.get(name) ?? createGroupStatistics();
    groups.set(name, found);
    return found;
  }

  function recordFirstToken({request, firstTokenMs}: EndedRequest): void {
    if (request.kind !== 'chat' || firstTokenMs === undefined) return;
    const decade = lengthDecade(request.promptTokens);
    const histogram = decades.get(decade) ?? createHistogram();
    decades.set(decade, histogram);
    histogram.record(firstTokenMs);
    const baselineMs = baseline.firstTokenMs(request.promptTokens);
    if (request.promptTokens > shortTokens || !baselineMs) return;
    slowdown.record(firstTokenMs / baselineMs);
  }

  function classResult(group: GroupStatistics): ClassResult {
    const {sent, outcomes, withinTime, totalMs} = group.read();
    return {sent, outcomes, withinTime, totalMs: totalMs.summary()};
  }

  function customerResult(group: GroupStatistics): CustomerResult {
    const {sent, completed, tokens, firstTokenMs} = group.read();
    const completedShare = sent === 0 ? 0 : completed / sent;
    const summary = firstTokenMs.summary();
    return {sent, completed, completedShare, tokens, firstTokenMs: summary};
  }

  function result(durationMs: number): LoadResult {
    const {sent, outcomes, withinTime} = all.read();
    const byCustomer = [...customers].map(
      ([name, group]) => [name, customerResult(group)] as const,
    );
    return {
      durationMs: Math.round(durationMs),
      sent,
      notSent,
      outcomes,
      withinTime,
      firstTokenMs: Object.fromEntries(
        LENGTH_DECADES.flatMap(decade => {
          const histogram = decades.get(decade);
          return histogram ? [[decade, histogram.summary()]] : [];
        }),
      ),
      baselineMs: Object.fromEntries(baseline.points()),
      shortSlowdown: baseline.points().length > 0 ? slowdown.summary() : null,
      classes: Object.fromEntries(
        [...classes].map(([name, group]) => [name, classResult(group)]),
      ),
      customers: Object.fromEntries(byCustomer),
      fairness: jainIndex(
        byCustomer.map(([, {completedShare}]) => completedShare),
      ),
      doubleRuns: audit.doubleRuns(),
      falseNotRun: audit.falseNotRun(),
    };
  }

  return {
    sent: request => {
      for (const group of groupsOf(request)) group.sent();
    },
    notSent: () => {
      notSent += 1;
    },
    ended: ended => {
      for (const group of groupsOf(ended.request)) group.ended(ended);
      if (ended.outcome === 'completed') recordFirstToken(ended);
    },
    result,
  };
}
