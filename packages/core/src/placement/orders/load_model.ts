/** Loads a model; no effect if it is loaded. */
export interface LoadModel {
  kind: 'load_model';
  model: string;
  version: string;
}
