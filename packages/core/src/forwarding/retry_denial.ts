import type {RouteTable} from '../configuration/route_table.js';
import type {ForwardedRequest} from './forwarded_request.js';
import {mayRunAgain} from './may_run_again.js';

/** A retry with less time left cannot succeed. */
const MIN_REMAINING_MS = 60;
/** Limit of attempts, those that endpoints turned down included. */
const MAX_ATTEMPTS = 8;

/** Why a request is not retried on another endpoint. */
export type RetryDenial =
  'may_have_run' | 'attempts_used' | 'no_time' | 'allowance_used';

/**
 * Returns why a failed request must not be retried; undefined if it may.
 * @param routes of the newest configuration
 */
export function retryDenial(
  req: ForwardedRequest,
  routes: RouteTable,
  nowMs: number,
): RetryDenial | undefined {
  const {route, history} = req;
  if (!mayRunAgain(req, routes) && !history.notRunProof())
    return 'may_have_run';
  if (history.possibleRuns() >= route.maxAttempts) return 'attempts_used';
  if (req.attempts >= MAX_ATTEMPTS) return 'attempts_used';
  if (req.deadlineMs - nowMs < MIN_REMAINING_MS) return 'no_time';
  return undefined;
}
