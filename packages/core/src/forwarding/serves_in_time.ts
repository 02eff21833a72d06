import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {ForwardedRequest} from './forwarded_request.js';

/**
 * Whether a choice sends a request within its target and answers it before its
 * deadline. A request that an endpoint has had goes on in any case, as a
 * refusal would waste what was done for it.
 * @param nowMs steady clock
 */
export function servesInTime(
  nowMs: number,
  req: ForwardedRequest,
  {startInMs, expectedMs}: EndpointChoice,
): boolean {
  if (req.attempts > 0) return true;
  const sentMs = nowMs + startInMs;
  if (startInMs > 0 && sentMs >= targetEndMs(req)) return false;
  return nowMs + expectedMs < req.deadlineMs;
}

/** When the first piece of a request is due. Steady clock. */
export function targetEndMs({arrivedMs, route}: ForwardedRequest): number {
  return arrivedMs + route.targetMs;
}
