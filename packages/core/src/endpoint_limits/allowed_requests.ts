import type {RequestRate} from './request_rate.js';

const MS_PER_SECOND = 1_000;

/** What a gateway knows of the others that send to the same endpoints. */
export interface FleetKnowledge {
  /** Gateways that are heard, this one included. */
  heard: number;
  /** Gateways that may be alive, this one included. */
  known: number;
  /** Time since this gateway started, in milliseconds. */
  uptimeMs: number;
}

/**
 * Requests that the gateways that hear each other may send to an endpoint in a
 * window, which may be less than one. A gateway that does not hear some others
 * leaves their share to them, and one that has just started does not know what
 * was sent before. One request to an endpoint that names a limit is always
 * allowed, since only its answer can end the limit.
 */
export function allowedRequests(
  {perSecond, windowMs, sharing}: RequestRate,
  {heard, known, uptimeMs}: FleetKnowledge,
): number {
  const coveredMs = Math.min(windowMs, uptimeMs);
  const share = heard / Math.max(heard, known);
  const allowed = (perSecond * share * coveredMs) / MS_PER_SECOND;
  return sharing === 'at_once' ? Math.max(1, allowed) : allowed;
}
