/** What there is of a service's endpoints, for a request that found none. */
export interface PoolReport {
  /** Endpoints that are registered and do not leave. */
  registered: number;
  /** Those that are not put aside. */
  healthy: number;
  /** Memory of all engines together that is not held, in tokens. */
  freeTokens: number;
  /** Free memory of the engine that has most of it. */
  maxFreeTokens: number;
}
