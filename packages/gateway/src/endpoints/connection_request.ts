/** The connection that an attempt needs. */
export interface ConnectionRequest {
  endpoint: string;
  /** `IP:PORT`. */
  address: string;
  /** Largest number of connections to the endpoint. */
  maxConnections: number;
  /** Whether the connection must not have carried another request. */
  requireNew: boolean;
  /** Id by which the answer names its request; empty if it has none. */
  callerId: string;
}
