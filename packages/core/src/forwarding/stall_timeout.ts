import {isRepeatable} from '../configuration/is_repeatable.js';
import type {ForwardedRequest} from './forwarded_request.js';

/** A first piece may take this many times its expected time. */
const EXPECTED_FACTOR = 2.5;
/** A shorter silence does not indicate a stall. */
const MIN_STALL_TIMEOUT_MS = 700;
/**
 * A first piece may take this many times its target: a prompt that is prefilled
 * anew on another engine is late as well, and its work is done twice.
 */
const TARGET_FACTOR = 1.2;
/** Gaps of a stream may be this many times the longest allowed gap. */
const GAP_FACTOR = 2.5;
/** Share of a call's time after which it is retried elsewhere. */
const CALL_TIME_SHARE = 0.45;

/**
 * Silence of an endpoint, in milliseconds, after which the request is retried
 * elsewhere; undefined if it must not run a second time.
 */
export function stallTimeoutMs(req: ForwardedRequest): number | undefined {
  const {route, current} = req;
  if (!current || !isRepeatable(route)) return undefined;
  if (route.kind !== 'stream')
    return (req.deadlineMs - req.arrivedMs) * CALL_TIME_SHARE;
  return Math.max(
    MIN_STALL_TIMEOUT_MS,
    current.pieces === 0
      ? Math.max(
          current.choice.expectedMs * EXPECTED_FACTOR,
          route.targetMs * TARGET_FACTOR,
        )
      : route.targetGapMs * GAP_FACTOR,
  );
}
