import type {EngineView} from './engine_view.js';
import {modelKey} from './model_key.js';
import type {ModelPlan} from './model_plan.js';

/**
 * Whether an engine may unload a model version: every planned replica must
 * have reported the planned version. The engine's own copy does not count if
 * it is the one to be unloaded.
 */
export function mayUnload(
  plan: ModelPlan,
  engine: string,
  version: string,
  known: EngineView[],
): boolean {
  if (plan.replicas === 0) return true;
  const key = modelKey(plan.row.name, plan.row.version);
  const ready = known.filter(
    ({row, report}) =>
      plan.engines.includes(row.name) &&
      (row.name !== engine || version !== plan.row.version) &&
      report?.models.includes(key),
  );
  return ready.length >= Math.max(1, plan.engines.length);
}
