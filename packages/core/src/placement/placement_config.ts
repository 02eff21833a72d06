/** Settings of placement decisions. */
export interface PlacementConfig {
  /** Decode streams that one replica serves well. */
  streamsPerReplica: number;
  /** Queued prefill tokens that one replica serves well. */
  queuedTokensPerReplica: number;
  /** Time constant of the demand average. */
  demandWindowMs: number;
  /** Time of low demand before a replica is given up. */
  shrinkAfterMs: number;
  /** Mean time between two loads from the weight store. */
  loadIntervalMs: number;
  /** Upper bound of the random wait before a new holder decides. */
  startJitterMs: number;
}
