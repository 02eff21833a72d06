import {callerTimeoutMs} from '../engine_model/caller_timeout.js';
import {missProbability} from '../engine_model/miss_probability.js';
import {requestValue} from '../engine_model/request_value.js';
import type {ChoiceRequest} from './choice_request.js';
import {LATE_SHARE, LOSS_PER_SECOND} from './loss_shares.js';

/** Loss of a request itself if its first piece comes at that time. */
export function requestLoss(req: ChoiceRequest, expectedMs: number): number {
  const value = requestValue(req.promptTokens);
  const late = missProbability(expectedMs, req.dueInMs);
  const lost = missProbability(
    expectedMs,
    callerTimeoutMs(req.dueInMs, req.gapMs),
  );
  return (
    value * (LATE_SHARE * late + (1 - LATE_SHARE) * lost) +
    (expectedMs / 1_000) * LOSS_PER_SECOND
  );
}
