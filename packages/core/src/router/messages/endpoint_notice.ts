import type {EndpointNoticeState} from '../../endpoints/endpoint_notice_state.js';

/** States that an endpoint must not receive new work. */
export interface EndpointNotice {
  endpoint: string;
  /** Incarnation of the endpoint; empty if `withdrawn`. */
  incarnation: string;
  state: EndpointNoticeState;
  /** Address of the router that issued the notice. */
  origin: string;
  /**
   * `failed`: increases with each notice of the origin. `withdrawn`: offset
   * that the table must have reached to overrule the notice.
   */
  stamp: number;
}
