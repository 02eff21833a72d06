import type {LoadResult} from '../stats/load_result.js';
import type {Summary} from '../stats/summary.js';
import {formatColumns} from './format_columns.js';
import {ReportFormat} from './report_format.js';

const SUMMARY_HEADS = ['count', 'mean', 'p50', 'p95', 'p99', 'max'];

/** Prints the result as text tables. */
export class TableFormat extends ReportFormat {
  override format(result: LoadResult): string {
    return [
      formatColumns([
        ['duration ms', String(result.durationMs)],
        ['sent', String(result.sent)],
        ['not sent', String(result.notSent)],
        ['within time', percent(result.withinTime)],
        ['fairness', result.fairness.toFixed(3)],
        ['double runs', String(result.doubleRuns)],
        ['false not run', String(result.falseNotRun)],
      ]),
      this.firstTokens(result),
      formatColumns([['outcome', 'count'], ...counts(result.outcomes)]),
      this.classes(result),
      this.customers(result),
    ].join('\n');
  }

  private firstTokens({firstTokenMs, shortSlowdown}: LoadResult): string {
    const rows = Object.entries(firstTokenMs).map(([decade, summary]) => [
      decade,
      ...cells(summary),
    ]);
    if (shortSlowdown) rows.push(['short slowdown', ...cells(shortSlowdown)]);
    return formatColumns([['first token ms', ...SUMMARY_HEADS], ...rows]);
  }

  private classes({classes}: LoadResult): string {
    const rows = Object.entries(classes).map(([name, item]) => [
      name,
      String(item.sent),
      percent(item.withinTime),
      ...cells(item.totalMs),
    ]);
    const heads = ['class', 'sent', 'within time', ...SUMMARY_HEADS];
    return formatColumns([heads, ...rows]);
  }

  private customers({customers}: LoadResult): string {
    const rows = Object.entries(customers).map(([name, item]) => [
      name,
      String(item.sent),
      percent(item.completedShare),
      String(item.tokens),
      ...cells(item.firstTokenMs),
    ]);
    const heads = ['customer', 'sent', 'completed', 'tokens', ...SUMMARY_HEADS];
    return formatColumns([heads, ...rows]);
  }
}

function cells(summary: Summary): string[] {
  const {count, mean, p50, p95, p99, max} = summary;
  return [count, mean, p50, p95, p99, max].map(String);
}

function counts(outcomes: Record<string, number>): string[][] {
  return Object.entries(outcomes)
    .sort(([, a], [, b]) => b - a)
    .map(([name, count]) => [name, String(count)]);
}

function percent(share: number): string {
  return `${(100 * share).toFixed(2)}%`;
}
