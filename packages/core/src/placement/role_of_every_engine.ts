import type {EngineRole} from '../types/engine_role.js';

/**
 * Routers send whole requests, prefill and decode together, so an engine that
 * takes only one part of the work would refuse or delay them.
 */
export const ROLE_OF_EVERY_ENGINE: EngineRole = 'mixed';
