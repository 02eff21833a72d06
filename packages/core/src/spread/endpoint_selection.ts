import type {EndpointHealth} from '../endpoint_health/endpoint_health.js';
import {STRICT_GAP_MS} from '../engine_model/estimate_load.js';
import type {WorkIndex} from '../fleet/work_index.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {WorkModel} from '../work_model/work_model.js';
import type {RandomSource} from '../types/random_source.js';
import {createCandidates} from './candidates.js';
import type {ChoiceRequest} from './choice_request.js';
import type {EndpointChoice} from './endpoint_choice.js';
import {explainEndpoints} from './explain_endpoints.js';
import type {ExplainedEndpoint} from './explained_endpoint.js';
import {createPrefillBacklog, type PrefillBacklog} from './prefill_backlog.js';
import {sampleEntries} from './sample_entries.js';
import {
  createEndpointFilters,
  type EndpointFilterParts,
  type EndpointFilters,
} from './endpoint_filters.js';
import type {PoolReport} from './pool_report.js';

/** Selects endpoints for requests among those that may take work. */
export interface EndpointSelection
  extends
    PrefillBacklog,
    Pick<EndpointFilters, 'closedUntilMs' | 'drainsExclude'> {
  select(
    nowMs: number,
    service: string,
    req: ChoiceRequest,
    avoid: ReadonlySet<string>,
    random: RandomSource,
  ): EndpointChoice | undefined;
  /** Prices a request on each endpoint of a service, without sending it. */
  explain(
    nowMs: number,
    service: string,
    req: ChoiceRequest,
  ): ExplainedEndpoint[];
  /** Describes the endpoints of a service where `select` found none. */
  pool(nowMs: number, service: string): PoolReport;
  /** Endpoints of a service with more work than the one that has least. */
  busierEndpoints(service: string): string[];
  /** Whether all endpoints of a choice may still take work. */
  isUsable(nowMs: number, service: string, choice: EndpointChoice): boolean;
}

/** Dependencies of the selection. */
export interface EndpointSelectionParts extends EndpointFilterParts {
  failureDomain: string;
  health: EndpointHealth;
  workIndex: WorkIndex;
  model: Pick<WorkModel, 'slowness'>;
  /** See `ChoiceConditions`. */
  largeFleet(): boolean;
  /** Whether this gateway has just started. */
  newlyStarted(nowMs: number): boolean;
}

/** Creates the endpoint selection of a gateway. */
export function createEndpointSelection(
  parts: EndpointSelectionParts,
): EndpointSelection {
  const {configuration, registry, health, pauses, limitRoom, workIndex} = parts;
  const filters = createEndpointFilters(parts);
  const {undrained, unpaused, available} = filters;
  const candidates = createCandidates(parts);
  const {chooser, candidate} = candidates;

  function busierEndpoints(service: string): string[] {
    const counted = undrained(service).map(({id}) => ({
      id,
      count: [...workIndex.onEndpoint(id)].length,
    }));
    const least = Math.min(...counted.map(({count}) => count));
    return counted.filter(({count}) => count > least).map(({id}) => id);
  }

  function pool(nowMs: number, service: string): PoolReport {
    const spec = configuration.service(service);
    const usable = undrained(service);
    const memory = spec?.engine?.memoryTokens ?? 0;
    const free = usable
      .map(entry => candidate(nowMs, entry, spec).load?.heldTokens ?? 0)
      .map(held => Math.max(0, memory - held));
    return {
      registered: registry.usable(service).length,
      drained: registry.usable(service).length - usable.length,
      healthy: usable.filter(({id}) => !health.isEjected(id, nowMs)).length,
      paused: usable.filter(entry => pauses.isPaused(entry, nowMs)).length,
      limited: usable.filter(entry => !limitRoom.hasRoom(nowMs, entry)).length,
      freeTokens: free.reduce((sum, tokens) => sum + tokens, 0),
      maxFreeTokens: Math.max(0, ...free),
    };
  }

  return {
    pool,
    closedUntilMs: filters.closedUntilMs,
    drainsExclude: filters.drainsExclude,
    explain: (nowMs, service, req) =>
      explainEndpoints(parts, candidates, nowMs, service, req),
    busierEndpoints,
    isUsable: (nowMs, service, {main, helpers}) => {
      // Its own work counts against the limits already.
      const ids = new Set(unpaused(nowMs, service).map(({id}) => id));
      return [main, ...helpers].every(
        ({id}) => ids.has(id) && !health.isEjected(id, nowMs),
      );
    },
    ...createPrefillBacklog(parts),
    select: (nowMs, service, req, avoid, random) => {
      const spec = configuration.service(service);
      const usable = available(nowMs, service);
      const healthy = usable.filter(({id}) => !health.isEjected(id, nowMs));
      // A retried request is not used to probe an endpoint that has failed.
      const withoutFailures =
        avoid.size === 0
          ? healthy
          : healthy.filter(({id}) => health.record(id).failures === 0);
      // If no endpoint is healthy, an ejected one is better than none.
      const pool = [withoutFailures, healthy, usable]
        .map(entries => entries.filter(({id}) => !avoid.has(id)))
        .find(entries => entries.length > 0);
      const entries = pool ?? usable;
      const largeFleet = parts.largeFleet();
      const newlyStarted = parts.newlyStarted(nowMs);
      const conditions = {random, largeFleet, newlyStarted};
      const chooseAmong = (subset: EndpointEntry[]) => {
        const priced = subset.map(entry => candidate(nowMs, entry, spec));
        return chooser(spec).choose(req, priced, conditions);
      };
      // Long prompts and engines that suit them are both rare: no sampling.
      const sampled = largeFleet && spec?.engine && req.gapMs <= STRICT_GAP_MS;
      const choice =
        sampled &&
        chooseAmong(sampleEntries(entries, parts.failureDomain, random));
      return choice || chooseAmong(entries);
    },
  };
}
