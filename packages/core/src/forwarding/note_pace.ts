import type {ForwardedRequest} from './forwarded_request.js';

/** Notes when a piece was passed on. */
export function notePace(req: ForwardedRequest, nowMs: number): void {
  if (req.pieceMs === undefined) req.firstPieceMs = nowMs - req.arrivedMs;
  else req.longestGapMs = Math.max(req.longestGapMs, nowMs - req.pieceMs);
  req.pieceMs = nowMs;
}
