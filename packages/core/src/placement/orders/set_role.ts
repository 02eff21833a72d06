import type {EngineRole} from '../../types/engine_role.js';

/** Changes which part of the work the engine accepts. */
export interface SetRole {
  kind: 'set_role';
  role: EngineRole;
}
