import type {EngineRole} from '../../types/engine_role.js';
import type {EngineSession} from '../../types/engine_session.js';

/** An endpoint's own load report, already outdated when it arrives. */
export interface EndpointReport {
  kind: 'endpoint_report';
  endpoint: string;
  /** Changes with each start of the endpoint's process. */
  incarnation: string;
  leaving: boolean;
  queuedPrefillTokens: number;
  decodeStreams: number;
  kvUsedTokens: number;
  kvCapacityTokens: number;
  /** Number of the newest cache event; 0 for plain services. */
  cacheSequence: number;
  sessions: EngineSession[];
  /** Models that the engine holds, written `NAME@VERSION`. */
  models: string[];
  /** Adapters that the engine holds, written `MODEL/ADAPTER`, if reported. */
  adapters?: string[];
  role?: EngineRole;
}
