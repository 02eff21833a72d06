import type {Objective} from '../types/objective.js';

/** What a routing strategy needs to know of a request. */
export interface RouteRequest {
  reqId: string;
  service: string;
  objective: Objective;
  promptTokens: number;
  prefixHashes: string[];
  /** Endpoints that failed for this request; used only if nothing is left. */
  avoid: ReadonlySet<string>;
}
