import type {ForwardedRequest} from './forwarded_request.js';

/**
 * Share of the target, or of the remaining time if that is less, that a request
 * may wait for capacity. Beyond it, a retry by the caller is more likely to be
 * in time than a longer wait.
 */
const CAPACITY_WAIT_SHARE = 1 / 8;

/**
 * Share of the target within which all endpoints must want requests again for
 * a request to wait for them; the rest is left for its service.
 */
const PAUSE_WAIT_SHARE = 1 / 2;

/**
 * Time until which a request waits for endpoints that have all asked for a
 * pause; a longer pause is known to be too long at once.
 */
export function pauseWaitEndMs(req: ForwardedRequest): number {
  const {arrivedMs, deadlineMs, route, streamStarted} = req;
  if (streamStarted) return deadlineMs;
  return Math.min(deadlineMs, arrivedMs + route.targetMs * PAUSE_WAIT_SHARE);
}

/** Time until which a request waits for an endpoint with free capacity. */
export function capacityWaitEndMs(req: ForwardedRequest): number {
  // Only another endpoint can finish a stream that has started.
  if (req.streamStarted) return req.deadlineMs;
  const timeMs = Math.min(req.route.targetMs, req.deadlineMs - req.arrivedMs);
  return req.arrivedMs + timeMs * CAPACITY_WAIT_SHARE;
}
