/** An endpoint accepted the connection of a probe, or did not. */
export interface EndpointProbed {
  kind: 'endpoint_probed';
  endpoint: string;
  reachable: boolean;
}
