/** Status of an endpoint as a gateway sees it. */
export interface EndpointStatus {
  id: string;
  service: string;
  address: string;
  failureDomain: string;
  /** `ready`, `missing`, `leaving` or `unreadable`. */
  standing: string;
  /** Remaining time for which it is ejected because of failures. */
  asideMs: number;
  /** Remaining pause that it asked for. */
  pausedMs: number;
  /** Remaining warm-up in which its rate is restricted. */
  coldMs: number;
  /** Requests a second that it takes at most; -1 if it names no limit. */
  limitPerS: number;
  /** Failures in a row. */
  failures: number;
  lastFailure: string;
  /** Slowdown: its time as a multiple of its profile's. */
  pace: number;
  /** Work of all gateways on it. */
  inFlight: number;
  /** Time until its running prefills end. */
  readingMs: number;
}
