import type {ForwardedRequest} from './forwarded_request.js';

/**
 * Part of the target, or of the time that is left if that is less, within
 * which a request may wait for room on engines. The caller's own repeat is
 * likelier to be in time after a longer wait.
 */
const ROOM_WAIT_SHARE = 1 / 8;

/** Until when a request for which no endpoint has room is kept. */
export function capacityWaitEndMs(req: ForwardedRequest): number {
  // Nothing else can finish a stream that has begun.
  if (req.streamStarted) return req.deadlineMs;
  const timeMs = Math.min(req.route.targetMs, req.deadlineMs - req.arrivedMs);
  return req.arrivedMs + timeMs * ROOM_WAIT_SHARE;
}
