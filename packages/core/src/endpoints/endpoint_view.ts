import type {EndpointRow} from '../types/endpoint_row.js';
import type {PrefillObservation} from './prefill_observation.js';
import type {EndpointReport} from '../router/events/endpoint_report.js';

/** The state of an endpoint as known to a router. */
export interface EndpointView {
  row: EndpointRow;
  /** Newest load report, if any was read. */
  report: EndpointReport | undefined;
  /** Attempts of this router that have not ended. */
  outstanding: number;
  /** Prompt tokens sent since the newest report, by this router. */
  sentTokens: number;
  /** The same for other routers, as announced by them. */
  peerSentTokens: number;
  /** Prompt tokens of this router's attempts without a first token yet. */
  pendingTokens: number;
  /** Recently observed prefill work and time, for the engine's own rate. */
  observedPrefill: PrefillObservation;
  /** Incarnation that is leaving; empty until a report has named it. */
  leavingIncarnation: string | undefined;
  /** Steady clock; the endpoint gets no work until then after failures. */
  blockedUntilMs: number;
  consecutiveFailures: number;
}
