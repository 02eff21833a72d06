import type {ChoiceConditions} from './choice_conditions.js';
import type {ChoiceRequest} from './choice_request.js';
import type {EndpointCandidate} from './endpoint_candidate.js';
import type {EndpointChoice} from './endpoint_choice.js';
import {EndpointChooser} from './endpoint_chooser.js';

/** Requests that an endpoint of this failure domain may have in excess. */
const SAME_DOMAIN_BONUS = 0.5;

/**
 * For plain services: chooses the endpoint that ends the request first if it
 * serves all calls in flight evenly with its slots.
 */
export class LeastWork extends EndpointChooser {
  constructor(private readonly failureDomain: string) {
    super();
  }

  override choose(
    req: ChoiceRequest,
    candidates: EndpointCandidate[],
    {random}: ChoiceConditions,
  ): EndpointChoice | undefined {
    let best: EndpointCandidate | undefined;
    let least = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
      const ms = this.expectedMs(req, candidate) * (1 + random() * 0.01);
      if (ms >= least) continue;
      best = candidate;
      least = ms;
    }
    if (!best) return undefined;
    const {entry, inFlight, slowness} = best;
    return {
      main: entry,
      helpers: [],
      helperTokens: 0,
      startInMs: 0,
      expectedMs: Math.round(slowness * req.serviceMs + this.waitMs(best)),
      baselineGapMs: 0,
      expectedGaps: 0,
      loss: 0,
      queued: inFlight >= entry.slots,
      reason: `least work, ${inFlight} in flight`,
    };
  }

  /** Time until a slot is free for one more call. */
  private waitMs({entry, inFlight, ...rest}: EndpointCandidate): number {
    const slots = Math.max(1, entry.slots);
    const excess = Math.max(0, inFlight + 1 - slots);
    if (excess === 0) return 0;
    const meanMs = (rest.serviceMs * rest.slowness) / inFlight;
    return (excess * meanMs) / slots;
  }

  private expectedMs(
    req: ChoiceRequest,
    {entry, serviceMs, slowness}: EndpointCandidate,
  ): number {
    const sameDomain = entry.failureDomain === this.failureDomain;
    const bonusMs = sameDomain ? SAME_DOMAIN_BONUS * req.serviceMs : 0;
    const slots = Math.max(1, entry.slots);
    return slowness * (req.serviceMs + (serviceMs - bonusMs) / slots);
  }
}
