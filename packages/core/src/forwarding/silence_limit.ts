import type {ForwardedRequest} from './forwarded_request.js';

/** A first piece may take this many times longer than expected. */
const EXPECTED_TIMES = 2.5;
/** A shorter silence says nothing about an endpoint. */
const LEAST_SILENCE_MS = 700;
/**
 * Share of the target by which the first piece may come later: a prompt that
 * is read anew elsewhere is late as well, and its work is done twice.
 */
const TARGET_TIMES = 1.2;
/** Pauses of a stream may be this many times the longest that is in time. */
const GAP_TIMES = 2.5;
/** Part of a request's time after which a call is repeated elsewhere. */
const CALL_SHARE = 0.45;

/**
 * Silence of an endpoint, in milliseconds, after which the request is better
 * off elsewhere; undefined if it must not run a second time.
 */
export function silenceLimitMs(req: ForwardedRequest): number | undefined {
  const {route, current} = req;
  if (!current) return undefined;
  switch (route.kind) {
    case 'non_idempotent':
      return undefined;
    case 'idempotent':
      return (req.deadlineMs - req.arrivedMs) * CALL_SHARE;
    case 'stream':
      if (!route.resumable) return undefined;
      return Math.max(
        LEAST_SILENCE_MS,
        current.pieces === 0
          ? Math.max(
              current.choice.expectedMs * EXPECTED_TIMES,
              route.targetMs * TARGET_TIMES,
            )
          : route.targetGapMs * GAP_TIMES,
      );
  }
}
