import {callerTimeoutMs} from '../engine_model/caller_timeout.js';
import {missProbability} from '../engine_model/miss_probability.js';
import {requestValue} from '../engine_model/request_value.js';
import type {ChoiceRequest} from './choice_request.js';
import {LATE_LOSS_SHARE, LOSS_PER_SECOND} from './loss_shares.js';

/** Loss of the request itself if its first piece comes after `expectedMs`. */
export function requestLoss(req: ChoiceRequest, expectedMs: number): number {
  const value = requestValue(req.promptTokens);
  const late = missProbability(expectedMs, req.dueInMs);
  const timedOut = missProbability(
    expectedMs,
    callerTimeoutMs(req.dueInMs, req.gapMs),
  );
  return (
    value * (LATE_LOSS_SHARE * late + (1 - LATE_LOSS_SHARE) * timedOut) +
    (expectedMs / 1_000) * LOSS_PER_SECOND
  );
}
