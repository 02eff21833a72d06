import type {NamedLimit} from '../../endpoint_limits/named_limit.js';

/** The limit that an endpoint named in an answer to the sender. */
export interface EndpointLimit {
  kind: 'endpoint_limit';
  endpoint: string;
  /** Start of the endpoint, Unix milliseconds; later starts are not meant. */
  startedAtMs: number;
  limit: Exclude<NamedLimit, 'unknown'>;
}
