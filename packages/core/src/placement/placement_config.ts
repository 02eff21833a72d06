/** Settings of placement decisions. */
export interface PlacementConfig {
  /** Decode streams that count as the full load of one replica. */
  streamsPerReplica: number;
  /** Queued prefill tokens that count as the full load of one replica. */
  queuedTokensPerReplica: number;
  /** Time constant of the demand average. */
  demandWindowMs: number;
  /** Time of low demand before a replica is removed. */
  shrinkAfterMs: number;
  /** Mean interval between loads from the weight store. */
  loadIntervalMs: number;
  /** Upper bound of the random delay before a new lease holder decides. */
  startJitterMs: number;
}
