/** An engine that ended. */
export interface EngineCrash {
  atMs: number;
  engine: string;
  /** Part or request that ended it; undefined if the test stopped it. */
  cause: string | undefined;
}
