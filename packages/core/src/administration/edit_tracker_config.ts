/** Times and bounds of the edit tracker. */
export interface EditTrackerConfig {
  /** Longest wait of a submitter before the answer is "pending". */
  answerWithinMs: number;
  /** Pause before a record whose answer was lost is appended again. */
  retryEveryMs: number;
  /** How long a record is appended again without anybody asking. */
  retryForMs: number;
  /** Edits without a verdict at once. */
  maxOpen: number;
}
