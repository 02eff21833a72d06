import type {Summary} from './summary.js';

/** Result of a class. */
export interface ClassResult {
  sent: number;
  /** Requests by outcome, written `OUTCOME` or `OUTCOME/CODE`. */
  outcomes: Record<string, number>;
  /** Share of sent requests completed within their timeout. */
  withinTime: number;
  /** Total time of completed requests, in milliseconds. */
  totalMs: Summary;
}
