import type {ModelRow} from '../types/model_row.js';
import {chooseEngines} from './choose_engines.js';
import {createDemandAverage} from './demand_average.js';
import type {EngineView} from './engine_view.js';
import type {EngineViews} from './engine_views.js';
import {modelKey} from './model_key.js';
import type {ModelPlan} from './model_plan.js';
import type {PlacementConfig} from './placement_config.js';
import {createReplicaCounts} from './replica_counts.js';

/** Plans the number of replicas of each model and their engines. */
export interface Planner {
  plan(nowMs: number, models: ModelRow[]): ModelPlan[];
}

/** Creates a planner without history. */
export function createPlanner(
  cfg: PlacementConfig,
  views: EngineViews,
): Planner {
  const demand = createDemandAverage(cfg.demandWindowMs);
  const counts = createReplicaCounts(cfg.shrinkAfterMs);

  function plan(nowMs: number, models: ModelRow[]): ModelPlan[] {
    const known = views.known(nowMs);
    return models.map(row => planModel(nowMs, row, known));
  }

  function planModel(
    nowMs: number,
    row: ModelRow,
    known: EngineView[],
  ): ModelPlan {
    const pool = known.filter(view => view.row.service === row.name);
    demand.sample(nowMs, row.name, replicasNeeded(pool));
    const average = demand.of(row.name);
    const key = modelKey(row.name, row.version);
    const holders = pool.filter(view => view.report?.models.includes(key));
    const replicas = counts.decide(nowMs, row, average, holders.length);
    const rows = views.candidates(nowMs, row.name).map(view => view.row);
    const engines = chooseEngines(row.name, rows, replicas);
    return {row, engines, replicas, demand: average};
  }

  function replicasNeeded(pool: EngineView[]): number {
    let needed = 0;
    for (const {report} of pool) {
      if (!report) continue;
      needed += report.decodeStreams / cfg.streamsPerReplica;
      needed += report.queuedPrefillTokens / cfg.queuedTokensPerReplica;
    }
    return needed;
  }

  return {plan};
}
