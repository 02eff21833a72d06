import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {RequestRate} from '../endpoint_limits/request_rate.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {EndpointRegistry} from '../registry/endpoint_registry.js';

/** An endpoint that gets more requests than its rate in a second may crash. */
const WARM_UP_WINDOW_MS = 1_000;

/** Which endpoints are cold, and what they take. */
export interface WarmUp {
  /** Rate of a cold endpoint; undefined if it is warm or not restricted. */
  rateOf(nowMs: number, endpoint: EndpointEntry): RequestRate | undefined;
  /** Remaining time of the restriction, in milliseconds; 0 if there is none. */
  remainingMs(nowMs: number, endpoint: EndpointEntry): number;
}

/** Creates the view of the warm-up of registered endpoints. */
export function createWarmUp(
  configuration: Pick<PublishedConfiguration, 'service'>,
  registry: Pick<EndpointRegistry, 'get'>,
): WarmUp {
  function perSecond({service}: EndpointEntry): number {
    return configuration.service(service)?.warmUpPerSecond ?? 0;
  }

  function remainingMs(nowMs: number, endpoint: EndpointEntry): number {
    const untilMs = registry.get(endpoint.id)?.warmUntilMs ?? nowMs;
    return perSecond(endpoint) > 0 ? Math.max(0, untilMs - nowMs) : 0;
  }

  return {
    remainingMs,
    rateOf: (nowMs, endpoint) =>
      remainingMs(nowMs, endpoint) > 0
        ? {
            perSecond: perSecond(endpoint),
            windowMs: WARM_UP_WINDOW_MS,
            sharing: 'gradually',
          }
        : undefined,
  };
}
