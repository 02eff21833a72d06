import type {ChoiceConditions} from './choice_conditions.js';
import type {ChoiceRequest} from './choice_request.js';
import type {EndpointCandidate} from './endpoint_candidate.js';
import type {EndpointChoice} from './endpoint_choice.js';

/** Chooses where a request goes. */
export abstract class EndpointChooser {
  /** Undefined if no candidate can take the request. */
  abstract choose(
    req: ChoiceRequest,
    candidates: EndpointCandidate[],
    conditions: ChoiceConditions,
  ): EndpointChoice | undefined;
}
