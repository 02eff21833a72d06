import type {Histogram} from './histogram.js';

/** Counts and time distributions of a group of requests. */
export interface GroupCounts {
  sent: number;
  completed: number;
  /** Requests by outcome, written `OUTCOME` or `OUTCOME/CODE`. */
  outcomes: Record<string, number>;
  /** Share of sent requests completed within their timeout. */
  withinTime: number;
  tokens: number;
  firstTokenMs: Histogram;
  totalMs: Histogram;
}
