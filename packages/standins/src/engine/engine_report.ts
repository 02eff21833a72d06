import type {LoadReport} from './load_report.js';
import type {EngineRole} from './orders/engine_role.js';

/** Load report of an engine. */
export interface EngineReport extends LoadReport {
  role: EngineRole;
  /** Written `MODEL/ADAPTER`. */
  adapters: string[];
  /** Tokens of all cached blocks, in use or not. */
  cachedTokens: number;
}
