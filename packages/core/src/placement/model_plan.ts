import type {ModelRow} from '../types/model_row.js';

/** Planned placement of a model. */
export interface ModelPlan {
  row: ModelRow;
  /** Names of the engines; fewer than `replicas` if there are not enough. */
  engines: string[];
  replicas: number;
  /** Average demand in replicas. */
  demand: number;
}
