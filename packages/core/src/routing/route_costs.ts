/** Parts of an expected time to first token, in milliseconds. */
export interface RouteCosts {
  queueMs: number;
  prefillMs: number;
  decodeMs: number;
  domainMs: number;
  /** Prompt tokens found in the endpoint's prefix cache. */
  cachedTokens: number;
  /** Queued plus own prefill in linear token equivalents. */
  work: number;
  /** Length of the request's prompt. */
  promptTokens: number;
}
