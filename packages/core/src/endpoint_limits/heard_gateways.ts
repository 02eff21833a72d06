/** Gateways send a heartbeat each second. */
const HEARTBEAT_MS = 1_000;
/** A gateway counts fully for so long after a message. */
const FULL_MS = 500;
/** Average weight of a gateway whose heartbeats all arrive. */
const MEAN_WEIGHT = 0.75;

/**
 * Number of gateways that hear each other, this one included. A gateway that
 * is silent weighs less and less from half a heartbeat on, so that two groups
 * that are cut off from each other give up the other's share before the
 * requests from before the cut have left a window of a second.
 * @param silentMs time since the newest message of each other gateway
 */
export function heardGateways(silentMs: readonly number[]): number {
  const weight = silentMs
    .map(ms => (HEARTBEAT_MS - ms) / (HEARTBEAT_MS - FULL_MS))
    .reduce((sum, share) => sum + Math.min(1, Math.max(0, share)), 0);
  return 1 + Math.min(silentMs.length, weight / MEAN_WEIGHT);
}
