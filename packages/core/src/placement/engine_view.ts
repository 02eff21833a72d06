import type {EndpointReport} from '../router/events/endpoint_report.js';
import type {EndpointRow} from '../types/endpoint_row.js';

/** What the holder of the lease knows of an engine. */
export interface EngineView {
  row: EndpointRow;
  /** Newest load report under the present lease. */
  report: EndpointReport | undefined;
  /** When the newest report came, or when the engine was first watched. */
  seenMs: number;
}
