/** Timeouts and limits of the edit tracker. */
export interface EditTrackerConfig {
  /** Longest wait of a submitter before the answer is "pending". */
  answerWithinMs: number;
  /** Pause before a record whose answer was lost is appended again. */
  retryEveryMs: number;
  /** How long an append is retried after the latest submission. */
  retryForMs: number;
  /** Maximum number of edits without a verdict. */
  maxOpen: number;
}
