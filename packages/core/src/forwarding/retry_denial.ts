import type {ForwardedRequest} from './forwarded_request.js';

/** A repeat with less time than this left cannot succeed. */
const MIN_REMAINING_MS = 60;
/** Endpoints that may turn one request down before it is given up. */
const MAX_ATTEMPTS = 8;

/** Why a request is not sent to another endpoint. */
export type RetryDenial =
  'may_have_run' | 'attempts_used' | 'no_time' | 'allowance_used';

/** Why a failed request must not be sent once more; undefined if it may. */
export function retryDenial(
  req: ForwardedRequest,
  nowMs: number,
): RetryDenial | undefined {
  const {route, history} = req;
  const repeatable =
    route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable);
  if (!repeatable && !history.notRunProof()) return 'may_have_run';
  if (history.possibleRuns() >= route.maxAttempts) return 'attempts_used';
  if (req.attempts >= MAX_ATTEMPTS) return 'attempts_used';
  if (req.deadlineMs - nowMs < MIN_REMAINING_MS) return 'no_time';
  return undefined;
}
