import type {ChoiceConditions} from './choice_conditions.js';
import type {ChoiceRequest} from './choice_request.js';
import type {EndpointCandidate} from './endpoint_candidate.js';
import type {EndpointChoice} from './endpoint_choice.js';
import {EndpointChooser} from './endpoint_chooser.js';

/** Extra requests that an endpoint of this failure domain may have. */
const SAME_DOMAIN_BONUS = 0.5;

/** For plain services: chooses the endpoint with fewest requests per slot. */
export class LeastWork extends EndpointChooser {
  constructor(private readonly failureDomain: string) {
    super();
  }

  override choose(
    _req: ChoiceRequest,
    candidates: EndpointCandidate[],
    {random}: ChoiceConditions,
  ): EndpointChoice | undefined {
    let best: EndpointCandidate | undefined;
    let least = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
      const load = this.requestsPerSlot(candidate) + random() * 0.01;
      if (load >= least) continue;
      best = candidate;
      least = load;
    }
    if (!best) return undefined;
    const reason = `least work, ${best.inFlight} in flight`;
    return {
      main: best.entry,
      helpers: [],
      helperTokens: 0,
      startInMs: 0,
      expectedMs: 0,
      baselineGapMs: 0,
      expectedGaps: 0,
      loss: 0,
      reason,
    };
  }

  private requestsPerSlot({entry, inFlight}: EndpointCandidate): number {
    const bonus =
      entry.failureDomain === this.failureDomain ? SAME_DOMAIN_BONUS : 0;
    return (inFlight - bonus) / Math.max(1, entry.slots);
  }
}
