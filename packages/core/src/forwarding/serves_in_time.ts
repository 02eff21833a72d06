import type {Route} from '../configuration/route.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {ForwardedRequest} from './forwarded_request.js';

/** Share of its expected length that a stream may turn out to have. */
const SHORT_STREAM_SHARE = 1 / 2;

/**
 * Share of its target that a queued call may need by estimate: what other
 * gateways send at the same time comes on top.
 */
const QUEUED_TARGET_SHARE = 0.75;

/**
 * Whether a choice sends a request within its target and answers it before its
 * deadline. A request that was sent to an endpoint before is always sent again:
 * a refusal would waste the work already done for it.
 * @param nowMs steady clock
 * @param allowance see `CustomerShares`
 */
export function servesInTime(
  nowMs: number,
  req: ForwardedRequest,
  choice: EndpointChoice,
  allowance: () => number,
): boolean {
  if (req.attempts > 0) return true;
  const {startInMs} = choice;
  const sentMs = nowMs + startInMs;
  if (waitsTooLong(nowMs, req, choice, allowance)) return false;
  if (startInMs > 0 && sentMs >= targetEndMs(req)) return false;
  return nowMs + neededMs(req, choice) < req.deadlineMs;
}

/**
 * Whether waiting for a better choice is pointless: the request, mostly a
 * caller's repeat, has less time left than its target, and the best choice
 * needs all of it.
 * @param nowMs steady clock
 */
export function isTooLate(
  nowMs: number,
  req: ForwardedRequest,
  best: EndpointChoice,
): boolean {
  const leftMs = req.deadlineMs - nowMs;
  return leftMs < req.route.targetMs && neededMs(req, best) >= leftMs;
}

/**
 * Whether a request would wait for others beyond its target. Serving it late
 * would make those behind it late, too. A customer with more than its share may
 * wait for less; if a slot is free, nobody is refused.
 */
function waitsTooLong(
  nowMs: number,
  req: ForwardedRequest,
  {queued, expectedMs}: EndpointChoice,
  allowance: () => number,
): boolean {
  if (!queued) return false;
  const leftMs = targetEndMs(req) - nowMs;
  return expectedMs > maxQueuedMs(req.route, leftMs) * allowance();
}

/**
 * Longest time that a request which would be queued may need by estimate.
 * @param leftMs time until its target ends
 */
export function maxQueuedMs(
  {kind}: Pick<Route, 'kind'>,
  leftMs: number,
): number {
  return leftMs * (kind === 'stream' ? 1 : QUEUED_TARGET_SHARE);
}

/** Time that an answer needs to be whole, even if it is a short one. */
function neededMs(
  req: ForwardedRequest,
  {expectedMs, expectedGaps, baselineGapMs}: EndpointChoice,
): number {
  // A resumed stream goes on behind the last piece that its caller has.
  const gaps = Math.max(0, expectedGaps * SHORT_STREAM_SHARE - req.lastPiece);
  return expectedMs + gaps * baselineGapMs;
}

/** Time at which the first piece of a request is due. Steady clock. */
export function targetEndMs({arrivedMs, route}: ForwardedRequest): number {
  return arrivedMs + route.targetMs;
}
