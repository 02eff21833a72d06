import type {Work} from '../fleet/work.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {ChoiceRequest} from '../spread/choice_request.js';

/** The work that a request is on the endpoints of a choice. */
export function createWork(
  member: string,
  work: number,
  choice: EndpointChoice,
  {promptTokens, outputTokens, dueInMs, gapMs}: ChoiceRequest,
  nowMs: number,
  startedMs: number,
): Work {
  return {
    member,
    id: work,
    main: choice.main.id,
    helpers: choice.helpers.map(({id}) => id),
    sharded: choice.helperTokens > 0,
    promptTokens,
    outputTokens,
    dueMs: nowMs + dueInMs,
    gapMs,
    startedMs,
    decoding: false,
  };
}
