import type {EngineProfile} from '../configuration/engine_profile.js';
import type {Work} from '../fleet/work.js';
import type {EngineLoad, EngineStream} from './engine_load.js';
import {passMs} from './pass_cost.js';
import {partReadMs} from './read_cost.js';
import {requestValue} from './request_value.js';

/**
 * Estimates what an engine has to do.
 * @param pace how many times slower than its profile the engine is
 */
export function estimateLoad(
  endpoint: string,
  profile: EngineProfile,
  works: Iterable<Work>,
  pace: number,
  nowMs: number,
): EngineLoad {
  const streams: EngineStream[] = [];
  const reading: Work[] = [];
  let requests = 0;
  let helps = 0;
  let contextTokens = 0;
  let heldTokens = 0;
  for (const work of works) {
    const {promptTokens, writing, helpers, main, shared} = work;
    const partTokens = promptTokens / (helpers.length + 1);
    const answers = main === endpoint;
    if (!writing) reading.push(work);
    if (writing && (answers || shared)) contextTokens += partTokens;
    if (shared) heldTokens += partTokens;
    if (!answers) {
      if (!writing) helps += 1;
      continue;
    }
    requests += 1;
    heldTokens += work.outputTokens + (shared ? 0 : promptTokens);
    streams.push({
      gapMs: work.gapMs,
      value: requestValue(promptTokens),
      dueInMs: writing ? undefined : work.dueMs - nowMs,
    });
  }
  const writers = streams.filter(({dueInMs}) => dueInMs === undefined).length;
  return {
    requests,
    helps,
    streams,
    backlogMs: backlogMs(profile, reading, pace, nowMs),
    passMs: passMs(profile, writers, contextTokens) * pace,
    heldTokens,
  };
}

/** Time until all prompts are read, one after the other. */
function backlogMs(
  profile: EngineProfile,
  reading: Work[],
  pace: number,
  nowMs: number,
): number {
  reading.sort((a, b) => a.startedMs - b.startedMs);
  let freeMs = Number.NEGATIVE_INFINITY;
  for (const {startedMs, promptTokens, helpers} of reading) {
    const parts = helpers.length + 1;
    const readMs = partReadMs(profile, promptTokens, parts) * pace;
    freeMs = Math.max(freeMs, startedMs) + readMs;
  }
  return Math.max(0, freeMs - nowMs);
}
