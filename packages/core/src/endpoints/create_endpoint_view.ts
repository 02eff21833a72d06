import type {EndpointRow} from '../types/endpoint_row.js';
import type {EndpointView} from './endpoint_view.js';

/** Creates the view of an endpoint that has not reported yet. */
export function createEndpointView(row: EndpointRow): EndpointView {
  return {
    row,
    report: undefined,
    outstanding: 0,
    sentTokens: 0,
    peerSentTokens: 0,
    pendingTokens: 0,
    observedPrefill: {work: 0, ms: 0},
    leavingIncarnation: undefined,
    blockedUntilMs: 0,
    consecutiveFailures: 0,
  };
}
