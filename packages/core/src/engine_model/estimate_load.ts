import type {EngineProfile} from '../configuration/engine_profile.js';
import type {Work} from '../fleet/work.js';
import type {AffectedWork} from './affected_work.js';
import type {EngineLoad} from './engine_load.js';
import {giveUpMs} from './give_up_time.js';
import {passMs} from './pass_cost.js';
import {partReadMs} from './read_cost.js';
import {requestValue} from './request_value.js';

/** Streams with a shorter pause keep long prompts away from their engine. */
export const STRICT_GAP_MS = 400;

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
  const affected: AffectedWork[] = [];
  const reading: Work[] = [];
  let requests = 0;
  let helps = 0;
  let writers = 0;
  let strict = false;
  let contextTokens = 0;
  let heldTokens = 0;
  for (const work of works) {
    const {promptTokens, writing, helpers, main, shared, gapMs} = work;
    const partTokens = promptTokens / (helpers.length + 1);
    const answers = main === endpoint;
    const value = requestValue(promptTokens);
    if (shared) heldTokens += partTokens;
    if (writing && (answers || shared)) contextTokens += partTokens;
    if (!writing) {
      reading.push(work);
      const patienceMs = giveUpMs(work.dueMs - work.startedMs, gapMs);
      affected.push({
        work,
        value,
        limitMs: work.dueMs - nowMs,
        giveUpMs: work.startedMs + patienceMs - nowMs,
      });
    }
    if (!answers) {
      if (!writing) helps += 1;
      continue;
    }
    requests += 1;
    heldTokens += work.outputTokens + (shared ? 0 : promptTokens);
    if (gapMs <= STRICT_GAP_MS) strict = true;
    if (writing) {
      writers += 1;
      affected.push({
        work,
        value,
        limitMs: gapMs,
        giveUpMs: giveUpMs(0, gapMs),
      });
    }
  }
  return {
    requests,
    helps,
    affected,
    backlogMs: backlogMs(profile, reading, pace, nowMs),
    writers,
    strict,
    passMs: passMs(profile, writers, contextTokens) * pace,
    heldTokens,
  };
}

/** Time until all prompts are read. */
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
