/** Loads an adapter of a model. */
export interface LoadAdapter {
  kind: 'load_adapter';
  model: string;
  adapter: string;
}
