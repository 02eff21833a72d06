import type {EndpointNoticeState} from '../../endpoints/endpoint_notice_state.js';

/** Tells that an endpoint must not receive new work. */
export interface EndpointNotice {
  endpoint: string;
  /** Start of the endpoint that is meant; empty if `withdrawn`. */
  incarnation: string;
  state: EndpointNoticeState;
  /** Address of the router that made the notice. */
  origin: string;
  /**
   * `failed`: larger for each notice of the origin. `withdrawn`: offset that
   * the table must have reached to overrule the notice.
   */
  stamp: number;
}
