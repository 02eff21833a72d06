import type {EndpointReport} from '../router/events/endpoint_report.js';

/** Report of an idle engine. */
export function endpointReport(
  over: Partial<EndpointReport> = {},
): EndpointReport {
  return {
    kind: 'endpoint_report',
    endpoint: 'engine-1',
    incarnation: 'first',
    leaving: false,
    queuedPrefillTokens: 0,
    decodeStreams: 0,
    kvUsedTokens: 0,
    kvCapacityTokens: 400_000,
    cacheSequence: 0,
    sessions: [],
    models: [],
    ...over,
  };
}
