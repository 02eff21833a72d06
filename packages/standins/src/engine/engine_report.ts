import type {LoadReport} from './load_report.js';
import type {EngineRole} from './orders/engine_role.js';

/** Load report with the fields that only engines have. */
export interface EngineReport extends LoadReport {
  role: EngineRole;
  /** Written `MODEL/ADAPTER`. */
  adapters: string[];
  /** Tokens of all cached blocks, pinned or idle. */
  cachedTokens: number;
}
