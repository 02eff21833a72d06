import type {ChoiceRequest} from '../spread/choice_request.js';
import type {ForwardedRequest} from './forwarded_request.js';

/** Expected share of the output limit, where the caller gave no estimate. */
const UNKNOWN_OUTPUT_SHARE = 0.4;

/** Derives the input of the endpoint selection from a request. */
export function choiceRequestOf(
  req: ForwardedRequest,
  nowMs: number,
): ChoiceRequest {
  const {arrived, route} = req;
  const {promptTokens, maxOutputTokens, expectedOutputTokens} = arrived;
  const expected =
    expectedOutputTokens || maxOutputTokens * UNKNOWN_OUTPUT_SHARE;
  return {
    promptTokens,
    outputTokens: Math.min(maxOutputTokens, Math.round(expected)),
    dueInMs: req.arrivedMs + route.targetMs - nowMs,
    gapMs: route.targetGapMs,
    bodyBytes: arrived.bodyBytes,
  };
}
