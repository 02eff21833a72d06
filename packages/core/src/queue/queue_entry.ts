import type {Objective} from '../types/objective.js';

/** A waiting request as a queue sees it. */
export interface QueueEntry {
  reqId: string;
  customer: string;
  className: string;
  service: string;
  promptTokens: number;
  maxOutputTokens: number;
  /** Weight of the class times that of the customer. */
  weight: number;
  /** 0 is served first. */
  priority: number;
  objective: Objective;
  arrivedMs: number;
  deadlineMs: number;
  /** Set by the fair queue: a retry is not charged to the flow again. */
  charged?: boolean;
}
