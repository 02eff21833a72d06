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
  arrivedMs: number;
  deadlineMs: number;
}
