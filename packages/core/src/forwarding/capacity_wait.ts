import type {ForwardedRequest} from './forwarded_request.js';

/**
 * Share of the target, or of the remaining time if that is less, that a request
 * may wait for capacity. Beyond it, a retry by the caller is more likely to be
 * in time than a longer wait.
 */
const CAPACITY_WAIT_SHARE = 1 / 8;

/** Time until which a request waits for an endpoint with free capacity. */
export function capacityWaitEndMs(req: ForwardedRequest): number {
  // Only another endpoint can finish a stream that has started.
  if (req.streamStarted) return req.deadlineMs;
  const timeMs = Math.min(req.route.targetMs, req.deadlineMs - req.arrivedMs);
  return req.arrivedMs + timeMs * CAPACITY_WAIT_SHARE;
}
