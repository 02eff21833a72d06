import type {ChoiceConditions} from './choice_conditions.js';
import type {ChoiceRequest} from './choice_request.js';
import type {EndpointCandidate} from './endpoint_candidate.js';
import type {EndpointChoice} from './endpoint_choice.js';
import {EndpointChooser} from './endpoint_chooser.js';

/** Requests that a nearer endpoint may have more than a farther one. */
const NEAR_BONUS = 0.5;

/** The endpoint with the fewest requests for its slots; for plain services. */
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
      const work = this.work(candidate) + random() * 0.01;
      if (work >= least) continue;
      best = candidate;
      least = work;
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
      loss: 0,
      reason,
    };
  }

  private work({entry, inFlight}: EndpointCandidate): number {
    const near = entry.failureDomain === this.failureDomain ? NEAR_BONUS : 0;
    return (inFlight - near) / Math.max(1, entry.slots);
  }
}
