import type {Summary} from './summary.js';

/** Result of one customer. */
export interface CustomerResult {
  sent: number;
  completed: number;
  completedShare: number;
  /** Prompt and output tokens of completed requests. */
  tokens: number;
  firstTokenMs: Summary;
}
