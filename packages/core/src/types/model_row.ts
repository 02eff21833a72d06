/** A model that engines can load. */
export interface ModelRow {
  type: 'model';
  name: string;
  version: string;
  adapters: string[];
  /** Engines that should hold the model even without traffic. */
  minReplicas: number;
  maxReplicas: number;
}
