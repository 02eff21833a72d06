import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {ForwardedRequest} from './forwarded_request.js';

/**
 * Whether a choice sends a request within its target and answers it before its
 * deadline. A request that was sent to an endpoint before is always sent again:
 * a refusal would waste the work already done for it.
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

/** Time at which the first piece of a request is due. Steady clock. */
export function targetEndMs({arrivedMs, route}: ForwardedRequest): number {
  return arrivedMs + route.targetMs;
}
