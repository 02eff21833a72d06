/** A request that is described instead of sent. */
export interface ExplainRequest {
  /** Name of the route. */
  route: string;
  /** Name of the customer; empty for none. */
  customer: string;
  promptTokens: number;
  maxOutputTokens: number;
  /** The caller's estimate of the output tokens; 0 for none. */
  expectedOutputTokens: number;
  /** Ids of the parts of its prompt. */
  parts: string[];
}
