import {giveUpMs} from '../engine_model/give_up_time.js';
import {lateness} from '../engine_model/lateness.js';
import {requestValue} from '../engine_model/request_value.js';
import type {ChoiceRequest} from './choice_request.js';
import {LATE_SHARE, LOSS_PER_SECOND} from './loss_shares.js';

/** Loss of a request itself if its first piece comes at that time. */
export function requestLoss(req: ChoiceRequest, expectedMs: number): number {
  const value = requestValue(req.promptTokens);
  const late = lateness(expectedMs, req.dueInMs);
  const lost = lateness(expectedMs, giveUpMs(req.dueInMs, req.gapMs));
  return (
    value * (LATE_SHARE * late + (1 - LATE_SHARE) * lost) +
    (expectedMs / 1_000) * LOSS_PER_SECOND
  );
}
