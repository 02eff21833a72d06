/** Expected cost of a request after its prompt. */
export interface ExpectedWork {
  /** Tokens of the answer; 0 for calls. */
  outputTokens: number;
  /** Service time of a call at usual speed; 0 for streams. */
  serviceMs: number;
}
