import type {ModelRow} from '../../types/model_row.js';

/** Model `coder` with two replicas of version 2 and one adapter. */
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
