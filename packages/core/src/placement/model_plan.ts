import type {ModelRow} from '../types/model_row.js';

/** Where a model is to be held. */
export interface ModelPlan {
  row: ModelRow;
  /** Names of the engines, as many as replicas if there are enough. */
  engines: string[];
  replicas: number;
  /** Average demand in replicas. */
  demand: number;
}
