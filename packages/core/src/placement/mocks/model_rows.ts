import type {ModelRow} from '../../types/model_row.js';

/** Two replicas of version 2 with one adapter. */
export function modelRow(over: Partial<ModelRow> = {}): ModelRow {
  return {
    type: 'model',
    name: 'coder',
    version: '2',
    adapters: ['isic'],
    minReplicas: 2,
    maxReplicas: 2,
    ...over,
  };
}
