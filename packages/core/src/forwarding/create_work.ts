import type {Work} from '../fleet/work.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {ChoiceRequest} from '../spread/choice_request.js';

/** Creates the record of a request's work on its chosen endpoints. */
export function createWork(
  member: string,
  id: number,
  choice: EndpointChoice,
  {promptTokens, outputTokens, dueInMs, gapMs, serviceMs}: ChoiceRequest,
  nowMs: number,
  startedMs: number,
): Work {
  return {
    member,
    id,
    main: choice.main.id,
    helpers: choice.helpers.map(helper => helper.id),
    sharded: choice.helperTokens > 0,
    promptTokens,
    outputTokens,
    dueMs: nowMs + dueInMs,
    gapMs,
    startedMs,
    decoding: false,
    serviceMs,
  };
}
