import type {EngineRole} from '../../types/engine_role.js';

/** Changes what part of the work the engine takes. */
export interface SetRole {
  kind: 'set_role';
  role: EngineRole;
}
