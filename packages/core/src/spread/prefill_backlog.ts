import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {EndpointHealth} from '../endpoint_health/endpoint_health.js';
import {estimateLoad} from '../engine_model/estimate_load.js';
import {prefillPartMs} from '../engine_model/prefill_cost.js';
import type {Work} from '../fleet/work.js';
import type {WorkIndex} from '../fleet/work_index.js';
import type {EndpointChoice} from './endpoint_choice.js';

/** How long engines still prefill, by the work that is known. */
export interface PrefillBacklog {
  /**
   * Time until the engines of a choice finish the prefills they have begun.
   * @param own the work that the choice is for, which is not counted
   */
  backlogMs(
    nowMs: number,
    service: string,
    choice: EndpointChoice,
    own: Work | undefined,
  ): number;
  /**
   * Full duration of all prefills that are active on an engine; progress made
   * so far is not deducted.
   */
  activePrefillMs(service: string, endpoint: string): number;
}

/** Dependencies of the backlog. */
export interface PrefillBacklogParts {
  configuration: PublishedConfiguration;
  health: EndpointHealth;
  workIndex: WorkIndex;
}

/** Creates the view of the engines' prefills. */
export function createPrefillBacklog(
  parts: PrefillBacklogParts,
): PrefillBacklog {
  const {configuration, health, workIndex} = parts;

  function activePrefillMs(service: string, endpoint: string): number {
    const profile = configuration.service(service)?.engine;
    if (!profile) return 0;
    let sumMs = 0;
    for (const {decoding, promptTokens, helpers} of workIndex.onEndpoint(
      endpoint,
    )) {
      if (decoding) continue;
      sumMs += prefillPartMs(profile, promptTokens, helpers.length + 1);
    }
    return sumMs * health.slowdown(endpoint);
  }

  function backlogMs(
    nowMs: number,
    service: string,
    {main, helpers}: EndpointChoice,
    own: Work | undefined,
  ): number {
    const profile = configuration.service(service)?.engine;
    if (!profile) return 0;
    const backlogs = [main, ...helpers].map(({id}) => {
      const works = [...workIndex.onEndpoint(id)].filter(work => work !== own);
      const slowdown = health.slowdown(id);
      return estimateLoad(id, profile, works, slowdown, nowMs).backlogMs;
    });
    return Math.max(...backlogs);
  }

  return {activePrefillMs, backlogMs};
}
