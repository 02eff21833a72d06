import type {EngineProfile} from './engine_profile.js';

/** A service as the operator publishes it. */
export interface ServiceSpec {
  name: string;
  /** Connections that one endpoint accepts from all callers together. */
  connectionLimit: number;
  /** Set for model engines; plain services have none. */
  engine: EngineProfile | undefined;
}
