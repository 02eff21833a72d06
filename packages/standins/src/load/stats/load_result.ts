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
  /** Number by how requests ended. */
  outcomes: Record<string, number>;
  withinTime: number;
  firstTokenMs: Partial<Record<LengthDecade, Summary>>;
  /** Median time to first token on an idle fleet, by tokens. */
  baselineMs: Record<string, number>;
  /** Time to first token of short requests over the baseline. */
  shortSlowdown: Summary | null;
  classes: Record<string, ClassResult>;
  customers: Record<string, CustomerResult>;
  /** Jain's index of the customers' completed shares; 1 is fair. */
  fairness: number;
  /** Idempotency keys that were executed more than once. */
  doubleRuns: number;
  /** Keys of which every answer said "not run", though they were. */
  falseNotRun: number;
}
