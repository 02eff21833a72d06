import type {EndpointView} from '../endpoints/endpoint_view.js';
import {endpointRow} from './rows.js';

/** An idle engine without a report. */
export function endpointView(
  name: string,
  over: Partial<EndpointView> = {},
): EndpointView {
  return {
    row: endpointRow({name}),
    report: undefined,
    outstanding: 0,
    sentTokens: 0,
    peerSentTokens: 0,
    pendingTokens: 0,
    observedPrefill: {work: 0, ms: 0},
    leavingIncarnation: undefined,
    blockedUntilMs: 0,
    consecutiveFailures: 0,
    ...over,
  };
}
