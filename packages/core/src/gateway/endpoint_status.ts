/** What a gateway believes of an endpoint. */
export interface EndpointStatus {
  id: string;
  service: string;
  address: string;
  failureDomain: string;
  /** `ready`, `missing`, `leaving` or `unreadable`. */
  standing: string;
  /** Time for which it gets no work because of failures. */
  asideMs: number;
  /** Failures in a row. */
  failures: number;
  lastFailure: string;
  /** How many times slower than its profile it is. */
  pace: number;
  /** Work of all gateways on it. */
  inFlight: number;
  /** Time until it has read what it has begun to read. */
  readingMs: number;
}
