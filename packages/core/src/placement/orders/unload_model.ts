/** Unloads a model; streams in flight finish. */
export interface UnloadModel {
  kind: 'unload_model';
  model: string;
  version: string;
}
