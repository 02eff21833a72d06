import type {EndedRequest} from '../requests/ended_request.js';
import type {PlannedRequest} from '../requests/planned_request.js';
import type {Baseline} from './baseline.js';
import type {ClassResult} from './class_result.js';
import type {CustomerResult} from './customer_result.js';
import {jainIndex} from './fairness.js';
import type {KeyAudit} from './key_audit.js';
import {
  LENGTH_DECADES,
  lengthDecade,
  type LengthDecade,
} from './length_decade.js';
import type {LoadResult} from './load_result.js';
import {createRecorder, type Recorder} from './recorder.js';
import {createTally, type Tally} from './tally.js';

/** Statistics of the load phase. */
export interface Statistics {
  sent(request: PlannedRequest): void;
  notSent(): void;
  ended(request: EndedRequest): void;
  result(durationMs: number): LoadResult;
}

/** Creates empty statistics over a baseline that has been measured. */
export function createStatistics(
  baseline: Baseline,
  audit: KeyAudit,
  shortTokens: number,
): Statistics {
  const all = createTally();
  const classes = new Map<string, Tally>();
  const customers = new Map<string, Tally>();
  const decades = new Map<LengthDecade, Recorder>();
  const slowdown = createRecorder();
  let notSent = 0;

  function talliesOf({className, customer}: PlannedRequest): Tally[] {
    return [all, entry(classes, className), entry(customers, customer)];
  }

  function entry(tallies: Map<string, Tally>, name: string): Tally {
    const found = tallies.get(name) ?? createTally();
    tallies.set(name, found);
    return found;
  }

  function recordFirstToken({request, firstTokenMs}: EndedRequest): void {
    if (request.kind !== 'chat' || firstTokenMs === undefined) return;
    const decade = lengthDecade(request.promptTokens);
    const recorder = decades.get(decade) ?? createRecorder();
    decades.set(decade, recorder);
    recorder.record(firstTokenMs);
    const idleMs = baseline.firstTokenMs(request.promptTokens);
    if (request.promptTokens > shortTokens || !idleMs) return;
    slowdown.record(firstTokenMs / idleMs);
  }

  function classResult(tally: Tally): ClassResult {
    const {sent, outcomes, withinTime, totalMs} = tally.read();
    return {sent, outcomes, withinTime, totalMs: totalMs.summary()};
  }

  function customerResult(tally: Tally): CustomerResult {
    const {sent, completed, tokens, firstTokenMs} = tally.read();
    const completedShare = sent === 0 ? 0 : completed / sent;
    const summary = firstTokenMs.summary();
    return {sent, completed, completedShare, tokens, firstTokenMs: summary};
  }

  function result(durationMs: number): LoadResult {
    const {sent, outcomes, withinTime} = all.read();
    const byCustomer = [...customers].map(
      ([name, tally]) => [name, customerResult(tally)] as const,
    );
    return {
      durationMs: Math.round(durationMs),
      sent,
      notSent,
      outcomes,
      withinTime,
      firstTokenMs: Object.fromEntries(
        LENGTH_DECADES.flatMap(decade => {
          const recorder = decades.get(decade);
          return recorder ? [[decade, recorder.summary()]] : [];
        }),
      ),
      baselineMs: Object.fromEntries(baseline.points()),
      shortSlowdown: baseline.points().length > 0 ? slowdown.summary() : null,
      classes: Object.fromEntries(
        [...classes].map(([name, tally]) => [name, classResult(tally)]),
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
      for (const tally of talliesOf(request)) tally.sent();
    },
    notSent: () => {
      notSent += 1;
    },
    ended: ended => {
      for (const tally of talliesOf(ended.request)) tally.ended(ended);
      if (ended.kind === 'completed') recordFirstToken(ended);
    },
    result,
  };
}
