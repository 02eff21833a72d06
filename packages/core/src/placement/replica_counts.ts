import type {ModelRow} from '../types/model_row.js';

/** Load of a replica above which another one is added. */
const GROW_ABOVE = 0.8;
/**
 * Load that the remaining replicas may have after one is removed. The gap to
 * `GROW_ABOVE` prevents oscillation under steady demand.
 */
const SHRINK_BELOW = 0.5;

/** Number of replicas of each model, with hysteresis. */
export interface ReplicaCounts {
  /** `existing`: replicas in the fleet; initial value of the first decision. */
  decide(
    nowMs: number,
    row: ModelRow,
    demand: number,
    existing: number,
  ): number;
}

interface ReplicaCount {
  count: number;
  /** Time since when demand has been low enough to remove a replica. */
  lowSinceMs: number | undefined;
}

/** Creates counts that start from the replicas in the fleet. */
export function createReplicaCounts(shrinkAfterMs: number): ReplicaCounts {
  const counts = new Map<string, ReplicaCount>();

  function decide(
    nowMs: number,
    row: ModelRow,
    demand: number,
    existing: number,
  ): number {
    const state = counts.get(row.name) ?? {
      count: existing,
      lowSinceMs: undefined,
    };
    counts.set(row.name, state);
    const {count} = state;
    if (demand > count * GROW_ABOVE) {
      state.count = Math.ceil(demand / GROW_ABOVE);
    }
    if (demand > (count - 1) * SHRINK_BELOW) {
      state.lowSinceMs = undefined;
    } else {
      state.lowSinceMs ??= nowMs;
      if (nowMs - state.lowSinceMs >= shrinkAfterMs) {
        state.count = count - 1;
        state.lowSinceMs = nowMs;
      }
    }
    state.count = clamp(state.count, row);
    return state.count;
  }

  return {decide};
}

/**
 * Limits a count to the bounds of the row. Demand is visible only in the load
 * reports of engines that hold the model, so one replica stays unless the row
 * allows none at all.
 */
function clamp(count: number, row: ModelRow): number {
  const max = Math.max(row.minReplicas, row.maxReplicas);
  const min = Math.min(max, Math.max(1, row.minReplicas));
  return Math.min(max, Math.max(min, count));
}
