import type {ForwardedRequest} from './forwarded_request.js';

/** Notes when a piece was passed on. */
export function recordPieceTiming(req: ForwardedRequest, nowMs: number): void {
  if (req.lastPieceMs === undefined) req.firstPieceMs = nowMs - req.arrivedMs;
  else req.longestGapMs = Math.max(req.longestGapMs, nowMs - req.lastPieceMs);
  req.lastPieceMs = nowMs;
}
