/** Opens a connection to an endpoint and closes it without a request. */
export interface ProbeEndpoint {
  kind: 'probe_endpoint';
  endpoint: string;
  /** `IP:PORT`. */
  address: string;
}
