/** An attempt that reached an engine. */
export interface EngineArrival {
  atMs: number;
  gateway: string;
  engine: string;
  reqId: string;
  parts: readonly string[];
  digest: string;
  /** Attempts with the same digest on engines at that moment. */
  alike: number;
}
