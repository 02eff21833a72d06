import type {ChoiceRequest} from '../spread/choice_request.js';
import type {ForwardedRequest} from './forwarded_request.js';

/** Derives the input of the endpoint selection from a request. */
export function choiceRequestOf(
  req: ForwardedRequest,
  nowMs: number,
): ChoiceRequest {
  const {arrived, route, expectedWork} = req;
  return {
    promptTokens: arrived.promptTokens,
    ...expectedWork,
    dueInMs: req.arrivedMs + route.targetMs - nowMs,
    gapMs: route.targetGapMs,
    bodyBytes: arrived.bodyBytes,
  };
}
