/** What the choice of an endpoint depends on. */
export interface ChoiceRequest {
  promptTokens: number;
  /** Expected tokens of the answer. */
  outputTokens: number;
  /** Time until the first piece, or the whole answer, is due. */
  dueInMs: number;
  /** Longest pause between two pieces; 0 for work that is no stream. */
  gapMs: number;
  bodyBytes: number;
}
