import type {EndpointReport} from '../router/events/endpoint_report.js';
import type {EndpointRow} from '../types/endpoint_row.js';

/** State of an engine as known to the lease holder. */
export interface EngineView {
  row: EndpointRow;
  /** Newest load report under the current lease. */
  report: EndpointReport | undefined;
  /** Time of the newest report, or of the first watch if there is none. */
  lastSeenMs: number;
}
