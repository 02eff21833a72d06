import type {ClassResult} from './class_result.js';
import type {CustomerResult} from './customer_result.js';
import type {LengthDecade} from './length_decade.js';
import type {Summary} from './summary.js';

/** Result of a run; times are in milliseconds. */
export interface LoadResult {
  durationMs: number;
  sent: number;
  /** Requests not sent because too many were in flight. */
  notSent: number;
  /** Requests by outcome, written `OUTCOME` or `OUTCOME/CODE`. */
  outcomes: Record<string, number>;
  withinTime: number;
  firstTokenMs: Partial<Record<LengthDecade, Summary>>;
  /** Median time to first token on an idle fleet, by prompt length. */
  baselineMs: Record<string, number>;
  /** Slowdown of short requests: time to first token over the baseline. */
  shortSlowdown: Summary | null;
  classes: Record<string, ClassResult>;
  customers: Record<string, CustomerResult>;
  /** Jain's index of the customers' completed shares; 1 is fair. */
  fairness: number;
  /** Idempotency keys that were executed more than once. */
  doubleRuns: number;
  /** Keys that were executed though every outcome said "not run". */
  falseNotRun: number;
}
