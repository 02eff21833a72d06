import type {ModelRow} from '../types/model_row.js';

/** Load of a replica above which another one is added. */
const GROW_ABOVE = 0.8;
/**
 * Load that the remaining replicas may have after one is given up. The gap to
 * `GROW_ABOVE` keeps a steady demand from adding and removing in turn.
 */
const SHRINK_BELOW = 0.5;

/** Number of replicas of each model, with hysteresis. */
export interface ReplicaCounts {
  /** `holding`: replicas found in the fleet; counts for the first decision. */
  decide(nowMs: number, row: ModelRow, demand: number, holding: number): number;
}

interface ReplicaCount {
  count: number;
  /** Since when demand has allowed to give a replica up. */
  lowSinceMs: number | undefined;
}

/** Creates counts that start from what the fleet holds. */
export function createReplicaCounts(shrinkAfterMs: number): ReplicaCounts {
  const counts = new Map<string, ReplicaCount>();

  function decide(
    nowMs: number,
    row: ModelRow,
    demand: number,
    holding: number,
  ): number {
    const state = counts.get(row.name) ?? {
      count: holding,
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
 * Demand shows only in the load reports of engines that hold the model, so
 * one replica stays unless the row allows none at all.
 */
function clamp(count: number, row: ModelRow): number {
  const most = Math.max(row.minReplicas, row.maxReplicas);
  const least = Math.min(most, Math.max(1, row.minReplicas));
  return Math.min(most, Math.max(least, count));
}
