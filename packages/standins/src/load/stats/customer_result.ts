import type {Summary} from './summary.js';

/** Result of a customer. */
export interface CustomerResult {
  sent: number;
  completed: number;
  completedShare: number;
  /** Prompt and output tokens of completed requests. */
  tokens: number;
  firstTokenMs: Summary;
}
