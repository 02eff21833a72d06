import type {LoadAdapter} from './load_adapter.js';
import type {LoadModel} from './load_model.js';
import type {SetRole} from './set_role.js';
import type {UnloadModel} from './unload_model.js';

/** An idempotent order to an engine. */
export type EngineOrder = LoadAdapter | LoadModel | SetRole | UnloadModel;
