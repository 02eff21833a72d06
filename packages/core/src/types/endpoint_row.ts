import type {DesiredState} from './desired_state.js';
import type {EndpointKind} from './endpoint_kind.js';

/** A back end that requests can be routed to. */
export interface EndpointRow {
  type: 'endpoint';
  name: string;
  kind: EndpointKind;
  /** Model name or plain service name that the endpoint serves. */
  service: string;
  /** Base address, for example `http://127.0.0.1:9000`. */
  url: string;
  failureDomain: string;
  /** KV cache size in tokens; 0 for plain services. */
  kvCapacityTokens: number;
  /** Whether the endpoint refuses orders with an old fencing token. */
  checksFencing: boolean;
  desired: DesiredState;
}
