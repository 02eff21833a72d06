/** Limits on answers that their callers do not read. */
export interface AnswerLimits {
  /** A stream of which more waits is broken off. */
  maxUnreadBytes: number;
  /** An answer of which nothing was read for this time is broken off. */
  stallMs: number;
}
