/** Work that a gateway has in flight on endpoints. */
export interface WorkNotice {
  /** Unique within one incarnation of a gateway. */
  work: number;
  /** Id of the endpoint that answers. */
  main: string;
  /** Ids of engines that prefill parts of the prompt. */
  helpers: string[];
  /** Whether each helper stores its part of the prompt. */
  shared: boolean;
  promptTokens: number;
  /** Expected tokens of the answer. */
  outputTokens: number;
  /** Time until the first piece is due, in milliseconds; may be negative. */
  dueInMs: number;
  /** Longest pause between two pieces; 0 for work that is no stream. */
  gapMs: number;
  /** Time since it was sent to the endpoint. */
  ageMs: number;
  /** Whether the first piece has arrived. */
  writing: boolean;
  /** Expected service time of a call at usual speed; 0 for streams. */
  serviceMs: number;
}
