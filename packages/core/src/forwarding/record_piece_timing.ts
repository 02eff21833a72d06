import type {ForwardedRequest} from './forwarded_request.js';

/** Records the time at which a piece was sent to the caller. */
export function recordPieceTiming(req: ForwardedRequest, nowMs: number): void {
  if (req.lastPieceMs === undefined) req.firstPieceMs = nowMs - req.arrivedMs;
  else req.longestGapMs = Math.max(req.longestGapMs, nowMs - req.lastPieceMs);
  req.lastPieceMs = nowMs;
}
