import type {FleetRequest} from '../fleet_request.js';
import type {LoadKind} from './load_kind.js';

/** How a caller was served. */
export type LoadOutcome = 'in_time' | 'late' | 'refused' | 'failed';

/** Outcome of a caller's request, repeats included. */
export interface LoadResult {
  kind: LoadKind;
  customer: string;
  outcome: LoadOutcome;
  /** Value of the request, see `requestValue`. */
  value: number;
}

/** Targets of a request's kind. */
interface Targets {
  targetMs: number;
  targetGapMs: number;
  timeoutMs: number;
}

/** Classifies one request by what its caller saw. */
export function outcomeOf(req: FleetRequest, targets: Targets): LoadOutcome {
  const {endedMs, arrivedMs, firstPieceMs, refusal} = req;
  if (refusal === 'overloaded' || refusal === 'not_ready') return 'refused';
  if (!req.complete || endedMs === undefined) return 'failed';
  const totalMs = endedMs - arrivedMs;
  if (totalMs > targets.timeoutMs) return 'failed';
  const prompt = (firstPieceMs ?? totalMs) <= targets.targetMs;
  const steady =
    !targets.targetGapMs || req.longestGapMs <= targets.targetGapMs;
  return prompt && steady ? 'in_time' : 'late';
}
