import type {EndpointRow} from '../types/endpoint_row.js';
import type {PrefillObservation} from './prefill_observation.js';
import type {EndpointReport} from '../router/events/endpoint_report.js';

/** What a router knows of an endpoint. */
export interface EndpointView {
  row: EndpointRow;
  /** Newest load report, if any was read. */
  report: EndpointReport | undefined;
  /** Attempts of this router that have not ended. */
  outstanding: number;
  /** Prompt tokens sent since the newest report, by this router. */
  sentTokens: number;
  /** The same for other routers, as far as they have told. */
  peerSentTokens: number;
  /** Prompt tokens of this router's attempts without a first token yet. */
  pendingTokens: number;
  /** Prefill work and time observed lately, for the engine's own rate. */
  observedPrefill: PrefillObservation;
  /** Incarnation that is leaving; empty if no report has named it yet. */
  leavingIncarnation: string | undefined;
  /** Monotonic time until which the endpoint gets no work after failures. */
  blockedUntilMs: number;
  consecutiveFailures: number;
}
