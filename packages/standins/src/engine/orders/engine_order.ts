import type {EngineRole} from './engine_role.js';

/** Loads a model; no effect if it is loaded or being loaded. */
export interface LoadModel {
  kind: 'load_model';
  model: string;
  version: string;
}

/** Unloads a model; streams in flight run to their end. */
export interface UnloadModel {
  kind: 'unload_model';
  model: string;
  version: string;
}

/** Loads an adapter of a model. */
export interface LoadAdapter {
  kind: 'load_adapter';
  model: string;
  adapter: string;
}

/** Changes the role of the engine. */
export interface SetRole {
  kind: 'set_role';
  role: EngineRole;
}

/** An order from the placer; all orders are idempotent. */
export type EngineOrder = LoadModel | UnloadModel | LoadAdapter | SetRole;
