import type {LoadRecord} from './load_record.js';
import {idleDecodeMs, idlePrefillMs} from './virtual_engine.js';

/** Prompts over this length count as long. */
const LONG_TOKENS = 16_384;
/** Upper bounds of the groups by prompt length. */
export const LENGTH_GROUPS = [4_000, 10_000, 100_000, 1_000_000];

/** The 50th, 95th and 99th percentile; NaN without values. */
export type Percentiles = [p50: number, p95: number, p99: number];

/** Metrics of one run. */
export interface LoadSummary {
  requests: number;
  /** By `LENGTH_GROUPS`. */
  firstTokenMs: Percentiles[];
  /** Share finished in time, by `LENGTH_GROUPS`. */
  inTime: number[];
  shortSlowdown: Percentiles;
  /** Of those finished in time. */
  longP95Ms: number;
  /** Of all requests; those not finished count with their timeout. */
  longP95AllMs: number;
  longInTime: number;
  requestsPerSecond: number;
  tokensPerSecond: number;
  /** Largest ratio of total time to timeout. */
  worstOfTimeout: number;
  /** Counts by outcome and code. */
  outcomes: Record<string, number>;
}

/** Summarises the requests that arrived after the warm-up. */
export function summarise(all: LoadRecord[], warmUpMs: number): LoadSummary {
  const firstMs = (all[0]?.arrivedMs ?? 0) + warmUpMs;
  const records = all.filter(r => r.arrivedMs >= firstMs);
  const spanMs = (records.at(-1)?.arrivedMs ?? 0) - firstMs;
  const done = records.filter(finishedInTime);
  const long = records.filter(r => r.event.promptTokens > LONG_TOKENS);
  const tokens = done.reduce((sum, r) => sum + r.event.promptTokens, 0);
  const outcomes: Record<string, number> = {};
  for (const {outcome} of records) {
    const key =
      outcome === undefined || outcome.kind === 'completed'
        ? 'completed'
        : `${outcome.kind}:${outcome.code}`;
    outcomes[key] = (outcomes[key] ?? 0) + 1;
  }
  const groups = LENGTH_GROUPS.map((_, i) =>
    records.filter(r => inGroup(r, i)),
  );
  return {
    requests: records.length,
    firstTokenMs: groups.map(group =>
      percentiles(group.flatMap(r => r.firstTokenMs ?? [])),
    ),
    inTime: groups.map(shareInTime),
    shortSlowdown: percentiles(
      done
        .filter(r => r.event.promptTokens <= LONG_TOKENS)
        .map(r => (r.totalMs ?? 0) / idleMs(r)),
    ),
    longP95Ms: percentiles(
      long.filter(finishedInTime).map(r => r.totalMs ?? 0),
    )[1],
    longP95AllMs: percentiles(
      long.map(r => (finishedInTime(r) ? (r.totalMs ?? 0) : r.timeoutMs)),
    )[1],
    longInTime: shareInTime(long),
    requestsPerSecond: (done.length * 1_000) / spanMs,
    tokensPerSecond: (tokens * 1_000) / spanMs,
    worstOfTimeout: records.reduce(
      (worst, r) => Math.max(worst, (r.totalMs ?? Infinity) / r.timeoutMs),
      0,
    ),
    outcomes,
  };
}

function finishedInTime(record: LoadRecord): boolean {
  return record.outcome?.kind === 'completed';
}

function inGroup(record: LoadRecord, group: number): boolean {
  const {promptTokens} = record.event;
  const above = LENGTH_GROUPS[group - 1] ?? 0;
  return promptTokens > above && promptTokens <= LENGTH_GROUPS[group]!;
}

function shareInTime(records: LoadRecord[]): number {
  return records.filter(finishedInTime).length / records.length;
}

function idleMs({event, outputTokens}: LoadRecord): number {
  return idlePrefillMs(event.promptTokens) + idleDecodeMs(outputTokens);
}

function percentiles(values: number[]): Percentiles {
  const sorted = values.sort((a, b) => a - b);
  const at = (part: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ??
    NaN;
  return [at(0.5), at(0.95), at(0.99)];
}
