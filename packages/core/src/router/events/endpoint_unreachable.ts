/** A load report could not be read. */
export interface EndpointUnreachable {
  kind: 'endpoint_unreachable';
  endpoint: string;
}
