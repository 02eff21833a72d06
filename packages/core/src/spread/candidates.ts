import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {ServiceSpec} from '../configuration/service_spec.js';
import type {EndpointHealth} from '../endpoint_health/endpoint_health.js';
import {estimateLoad} from '../engine_model/estimate_load.js';
import type {WorkIndex} from '../fleet/work_index.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import {remainingServiceMs} from '../work_model/remaining_service.js';
import type {WorkModel} from '../work_model/work_model.js';
import type {EndpointCandidate} from './endpoint_candidate.js';
import type {EndpointChooser} from './endpoint_chooser.js';
import {LeastLoss} from './least_loss.js';
import {LeastWork} from './least_work.js';

/** Endpoints with their work, and who chooses among them. */
export interface Candidates {
  chooser(spec: ServiceSpec | undefined): EndpointChooser;
  candidate(
    nowMs: number,
    entry: EndpointEntry,
    spec: ServiceSpec | undefined,
  ): EndpointCandidate;
}

/** Dependencies of the candidates. */
export interface CandidateParts {
  failureDomain: string;
  configuration: PublishedConfiguration;
  health: EndpointHealth;
  workIndex: WorkIndex;
  model: Pick<WorkModel, 'slowness'>;
}

/** Creates the view of endpoints as candidates. */
export function createCandidates(parts: CandidateParts): Candidates {
  const {health, workIndex, model} = parts;
  const leastWork = new LeastWork(parts.failureDomain);
  const choosers = new Map<ServiceSpec, EndpointChooser>();

  function chooser(spec: ServiceSpec | undefined): EndpointChooser {
    if (!spec?.engine) return leastWork;
    let found = choosers.get(spec);
    if (!found) {
      // Each version of the configuration has its own objects; drop old ones.
      choosers.clear();
      found = new LeastLoss(parts.failureDomain, spec.engine);
      choosers.set(spec, found);
    }
    return found;
  }

  function candidate(
    nowMs: number,
    entry: EndpointEntry,
    spec: ServiceSpec | undefined,
  ): EndpointCandidate {
    const works = [...workIndex.onEndpoint(entry.id)];
    const slowdown = health.slowdown(entry.id);
    const load =
      spec?.engine &&
      estimateLoad(entry.id, spec.engine, works, slowdown, nowMs);
    return {
      entry,
      inFlight: works.length,
      serviceMs: spec?.engine ? 0 : remainingServiceMs(works, nowMs),
      slowness: model.slowness(entry.id),
      load,
    };
  }

  return {chooser, candidate};
}
