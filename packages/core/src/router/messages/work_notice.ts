/** Prompt tokens that a router sent to an endpoint since its last report. */
export interface WorkNotice {
  origin: string;
  endpoint: string;
  tokens: number;
  /** Increases with each notice of the origin. */
  stamp: number;
  /** Milliseconds since the origin issued the notice, without network delay. */
  ageMs: number;
}
