import type {RequestKind} from './request_kind.js';
import type {WeightedService} from './weighted_service.js';

/** How the requests of one host and path prefix are served. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash; the longest match wins. */
  prefix: string;
  kind: RequestKind;
  /** One entry unless requests are split among services. */
  services: WeightedService[];
  /** Time from arrival to the last byte, in milliseconds. */
  timeoutMs: number;
  /** Target time to the whole answer, or to a stream's first piece. */
  targetMs: number;
  /** Longest gap between two pieces of a stream; 0 for other kinds. */
  targetGapMs: number;
  /** 0 is served first. */
  priority: number;
  /** Largest number of endpoints that may run one request. */
  maxAttempts: number;
  /** Whether requests are served without a key. */
  public: boolean;
  /** Whether a broken stream may be continued at another endpoint. */
  resumable: boolean;
}
