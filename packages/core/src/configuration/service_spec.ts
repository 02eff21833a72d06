import type {EngineProfile} from './engine_profile.js';

/** A service as the operator publishes it. */
export interface ServiceSpec {
  name: string;
  /** Connections that one endpoint accepts from all callers together. */
  connectionLimit: number;
  /** Requests a second that a cold endpoint takes; 0 if not restricted. */
  warmUpPerSecond: number;
  /** Set for model engines; plain services have none. */
  engine: EngineProfile | undefined;
}
