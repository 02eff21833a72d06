import type {Objective} from '../types/objective.js';

/** Properties of a request that a routing strategy uses. */
export interface RouteRequest {
  reqId: string;
  service: string;
  objective: Objective;
  promptTokens: number;
  prefixHashes: string[];
  /** Endpoints that failed for this request; used only if no other is left. */
  avoid: ReadonlySet<string>;
}
