import type {EndpointNoticeState} from './endpoint_notice_state.js';

/** A change of an endpoint that this router detected itself. */
export interface EndpointChange {
  endpoint: string;
  /** Empty if `withdrawn`. */
  incarnation: string;
  state: EndpointNoticeState;
  /** Table offset of a withdrawal; 0 for other states. */
  tableNext: number;
}
