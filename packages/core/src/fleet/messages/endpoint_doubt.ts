/** An endpoint that the sender could not reach. */
export interface EndpointDoubt {
  kind: 'endpoint_doubt';
  endpoint: string;
  /** Time for which the sender sends it no work, in milliseconds. */
  pauseMs: number;
}
