import type {ChoiceRequest} from '../spread/choice_request.js';
import type {ForwardedRequest} from './forwarded_request.js';

/** Tokens that one piece of a stream holds, where the caller gave no guess. */
const UNKNOWN_OUTPUT_SHARE = 0.4;

/** What the choice of an endpoint needs to know of a request. */
export function choiceRequestOf(
  req: ForwardedRequest,
  nowMs: number,
): ChoiceRequest {
  const {arrived, route} = req;
  const {promptTokens, maxOutputTokens, expectedOutputTokens} = arrived;
  const guess = expectedOutputTokens || maxOutputTokens * UNKNOWN_OUTPUT_SHARE;
  return {
    promptTokens,
    outputTokens: Math.min(maxOutputTokens, Math.round(guess)),
    dueInMs: req.arrivedMs + route.targetMs - nowMs,
    gapMs: route.targetGapMs,
    bodyBytes: arrived.bodyBytes,
  };
}
