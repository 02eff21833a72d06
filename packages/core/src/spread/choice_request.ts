/** What the choice of an endpoint depends on. */
export interface ChoiceRequest {
  promptTokens: number;
  /** Expected tokens of the answer. */
  outputTokens: number;
  /** Time until the first piece, or the whole answer, is due. */
  dueInMs: number;
  /** Longest allowed gap between two pieces; 0 if it is not a stream. */
  gapMs: number;
  bodyBytes: number;
  /** Expected service time of a call at usual speed; 0 for streams. */
  serviceMs: number;
}
