import {build} from 'hdr-histogram-js';
import type {Summary} from './summary.js';

/** Values are stored in thousandths, which keeps digits below 1. */
const SCALE = 1_000;
const MAX_VALUE = 10_000_000;

/** Histogram with three significant digits. */
export interface Histogram {
  record(value: number): void;
  summary(): Summary;
}

/** Creates an empty histogram. */
export function createHistogram(): Histogram {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_VALUE * SCALE,
    numberOfSignificantValueDigits: 3,
  });
  const percentile = (p: number): number =>
    round(histogram.getValueAtPercentile(p) / SCALE);

  return {
    record: value => {
      const bounded = Math.min(MAX_VALUE, Math.max(0, value));
      histogram.recordValue(Math.round(bounded * SCALE));
    },
    summary: () => ({
      count: histogram.totalCount,
      mean: histogram.totalCount === 0 ? 0 : round(histogram.mean / SCALE),
      p50: percentile(50),
      p95: percentile(95),
      p99: percentile(99),
      max: histogram.totalCount === 0 ? 0 : percentile(100),
    }),
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
