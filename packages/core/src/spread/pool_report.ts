/** State of a service's endpoints, logged when a request finds none. */
export interface PoolReport {
  /** Registered endpoints that may take work. */
  registered: number;
  /** Those in failure domains that are drained; not counted below. */
  drained: number;
  /** Those that are not ejected. */
  healthy: number;
  /** Those that asked this gateway for a pause. */
  paused: number;
  /** Those whose limit leaves no room now. */
  limited: number;
  /** Free memory of all engines together, in tokens. */
  freeTokens: number;
  /** Largest free memory of a single engine, in tokens. */
  maxFreeTokens: number;
}
