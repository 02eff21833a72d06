import type {EngineProfile} from '../configuration/engine_profile.js';
import type {Work} from '../fleet/work.js';
import {prefillPartMs} from './prefill_cost.js';

/** A prompt or a part of one that an engine prefills or will prefill. */
export interface PlannedPrefill {
  work: Work;
  /** Time until it starts, in milliseconds; 0 if it has started. */
  startInMs: number;
  /** Time until it is done, in milliseconds. */
  finishInMs: number;
}

/**
 * Estimates when an engine starts and ends its prefills, one after the other.
 * @param slowdown how many times slower than its profile the engine is
 */
export function planPrefills(
  profile: EngineProfile,
  prefilling: Work[],
  slowdown: number,
  nowMs: number,
): PlannedPrefill[] {
  const inOrder = [...prefilling].sort((a, b) => a.startedMs - b.startedMs);
  let freeMs = Number.NEGATIVE_INFINITY;
  return inOrder.map(work => {
    const parts = work.helpers.length + 1;
    const prefillMs =
      prefillPartMs(profile, work.promptTokens, parts) * slowdown;
    const startMs = Math.max(freeMs, work.startedMs);
    freeMs = startMs + prefillMs;
    return {
      work,
      startInMs: Math.max(0, startMs - nowMs),
      finishInMs: Math.max(0, freeMs - nowMs),
    };
  });
}
