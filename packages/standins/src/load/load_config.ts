/** Configuration of a load run. */
export interface LoadConfig {
  /** Number of routers; requests are sent to them round-robin. */
  routers: number;
  durationMs: number;
  /** Limit of requests in flight; excess arrivals are counted, not sent. */
  maxInFlight: number;
  /** Time after its timeout at which a request is aborted. */
  graceMs: number;
  /** Requests per length, sent one at a time before the load; 0 for none. */
  baselineRequests: number;
  /** Longest prompt that counts as short. */
  shortTokens: number;
}
