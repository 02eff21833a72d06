import {maxQueuedMs} from '../forwarding/serves_in_time.js';
import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {Route} from '../configuration/route.js';
import {requestWorkOf} from '../forwarding/request_work_of.js';
import type {Quarantine} from '../quarantine/quarantine.js';
import type {SuspectRequest} from '../quarantine/suspect_request.js';
import type {ChoiceRequest} from '../spread/choice_request.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {EndpointSelection} from '../spread/endpoint_selection.js';
import type {WorkModel} from '../work_model/work_model.js';
import type {ExplainRequest} from './explain_request.js';
import type {Explanation} from './explanation.js';

/** Equal for each call, so that explanations of one state are equal. */
const FIXED_RANDOM = 0.5;
const NO_CHOICE: Explanation = {
  decision: 'unknown_route',
  service: '',
  outputTokens: 0,
  serviceMs: 0,
  main: '',
  helpers: [],
  startInMs: 0,
  expectedMs: -1,
  loss: -1,
  reason: '',
  endpoints: [],
};

/** Dependencies of the explanation. */
export interface ExplainParts {
  configuration: PublishedConfiguration;
  selection: EndpointSelection;
  model: WorkModel;
  quarantine: Pick<Quarantine, 'refuses'>;
}

/** Explains the choice for a described request; nothing is sent or recorded. */
export function explain(
  {configuration, selection, model, quarantine}: ExplainParts,
  nowMs: number,
  req: ExplainRequest,
): Explanation {
  const routes = configuration.current()?.routes ?? [];
  const route = routes.find(({name}) => name === req.route);
  if (!route) return NO_CHOICE;
  const service = route.services[0]?.service ?? '';
  const wanted = choiceRequest(model, route, req);
  const {outputTokens, serviceMs} = wanted;
  const endpoints = selection.explain(nowMs, service, wanted);
  const found = {...NO_CHOICE, service, outputTokens, serviceMs, endpoints};
  if (quarantine.refuses(suspectRequest(req))) {
    return {...found, decision: 'quarantined'};
  }
  const random = (): number => FIXED_RANDOM;
  const choice = selection.select(nowMs, service, wanted, new Set(), random);
  if (!choice) return {...found, decision: 'wait_or_refuse'};
  return {...found, ...explainChoice(choice, route)};
}

function choiceRequest(
  model: WorkModel,
  route: Route,
  req: ExplainRequest,
): ChoiceRequest {
  const customer = {name: req.customer, keys: [], priority: undefined};
  return {
    promptTokens: req.promptTokens,
    ...model.expect(requestWorkOf(req, route, customer)),
    dueInMs: route.targetMs,
    gapMs: route.targetGapMs,
    bodyBytes: 0,
  };
}

/** A described request has no body by which it could be known. */
function suspectRequest({parts}: ExplainRequest): SuspectRequest {
  return {reqId: '', parts, bodyBytes: 0, identify: undefined};
}

function explainChoice(
  choice: EndpointChoice,
  route: Route,
): Partial<Explanation> {
  const {main, helpers, startInMs, expectedMs, loss, reason} = choice;
  // Without the allowance of a customer beyond its share, which changes often.
  const late = choice.queued && expectedMs > maxQueuedMs(route, route.targetMs);
  return {
    decision: late ? 'wait_or_refuse' : 'send',
    main: main.id,
    helpers: helpers.map(({id}) => id),
    startInMs,
    expectedMs,
    loss,
    reason,
  };
}
