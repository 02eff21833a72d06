/** Properties of a load run. */
export interface LoadConfig {
  routers: number;
  durationMs: number;
  /** More requests than this are not sent, and counted. */
  maxInFlight: number;
  /** Time beyond its timeout after which a request is given up. */
  graceMs: number;
  /** Requests of each length sent alone before the load; 0 for none. */
  baselineRequests: number;
  /** Longest prompt that counts as short. */
  shortTokens: number;
}
