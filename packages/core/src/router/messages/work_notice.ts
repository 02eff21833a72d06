/** Prompt tokens that a router sent to an endpoint since its last report. */
export interface WorkNotice {
  origin: string;
  endpoint: string;
  tokens: number;
  /** Larger for each notice of the origin. */
  stamp: number;
  /** Milliseconds since the origin made the notice, without network delay. */
  ageMs: number;
}
