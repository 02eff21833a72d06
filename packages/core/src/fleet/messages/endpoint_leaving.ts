/** An endpoint that said in an answer to the sender that it is leaving. */
export interface EndpointLeaving {
  kind: 'endpoint_leaving';
  endpoint: string;
  /** Start of the endpoint, Unix milliseconds; later starts are not meant. */
  startedAtMs: number;
}
