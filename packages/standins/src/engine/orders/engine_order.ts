import type {EngineRole} from './engine_role.js';

/** Loads a model; no effect if it is there. */
export interface LoadModel {
  kind: 'load_model';
  model: string;
  version: string;
}

/** Unloads a model; streams in flight finish. */
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

/** Changes what part of the work the engine takes. */
export interface SetRole {
  kind: 'set_role';
  role: EngineRole;
}

/** An order of the placer; harmless when repeated. */
export type EngineOrder = LoadModel | UnloadModel | LoadAdapter | SetRole;
