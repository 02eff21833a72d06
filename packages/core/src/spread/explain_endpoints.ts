import type {EndpointPauses} from '../endpoint_hints/endpoint_pauses.js';
import type {DrainWatch} from '../domain_drain/drain_watch.js';
import type {EndpointHealth} from '../endpoint_health/endpoint_health.js';
import type {LimitRoom} from '../endpoint_limits/limit_room.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {EndpointRegistry} from '../registry/endpoint_registry.js';
import type {Candidates, CandidateParts} from './candidates.js';
import type {ChoiceRequest} from './choice_request.js';
import type {ExplainedEndpoint, Exclusion} from './explained_endpoint.js';

/** Dependencies of the explanation. */
export interface ExplanationParts extends CandidateParts {
  registry: EndpointRegistry;
  health: EndpointHealth;
  pauses: EndpointPauses;
  limitRoom: LimitRoom;
  drains: Pick<DrainWatch, 'has'>;
}

/** Prices a request on each endpoint of a service alone, without sending it. */
export function explainEndpoints(
  parts: ExplanationParts,
  {candidate, chooser}: Candidates,
  nowMs: number,
  service: string,
  req: ChoiceRequest,
): ExplainedEndpoint[] {
  const spec = parts.configuration.service(service);
  const usable = new Set(parts.registry.usable(service).map(({id}) => id));
  const conditions = {random: () => 0, largeFleet: false, newlyStarted: false};

  function exclusion(entry: EndpointEntry): Exclusion {
    if (!usable.has(entry.id)) return 'not_usable';
    if (parts.drains.has(entry.failureDomain)) return 'drained';
    if (parts.pauses.isPaused(entry, nowMs)) return 'paused';
    if (!parts.limitRoom.hasRoom(nowMs, entry)) return 'limited';
    return parts.health.isEjected(entry.id, nowMs) ? 'ejected' : 'none';
  }

  return parts.registry
    .entries()
    .filter(entry => entry.service === service)
    .map(entry => {
      const priced = candidate(nowMs, entry, spec);
      const choice = chooser(spec).choose(req, [priced], conditions);
      const rule = exclusion(entry);
      const excluded = rule === 'none' && !choice ? 'no_room' : rule;
      const {id, failureDomain} = entry;
      return {
        id,
        failureDomain,
        excluded,
        inFlight: priced.inFlight,
        expectedMs: excluded === 'none' ? (choice?.expectedMs ?? -1) : -1,
        loss: excluded === 'none' ? (choice?.loss ?? -1) : -1,
        queued: choice?.queued ?? false,
      };
    });
}
