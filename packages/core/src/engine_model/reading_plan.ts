import type {EngineProfile} from '../configuration/engine_profile.js';
import type {Work} from '../fleet/work.js';
import {prefillPartMs} from './prefill_cost.js';

/** A prompt, or a part of one, that an engine reads or will read. */
export interface PlannedReading {
  work: Work;
  /** Time until it begins; 0 if it has begun. Milliseconds. */
  startInMs: number;
  /** Time until it is read. */
  finishInMs: number;
}

/**
 * When an engine will have read what it has to read, one after the other.
 * @param slowdown how many times slower than its profile the engine is
 */
export function planReading(
  profile: EngineProfile,
  reading: Work[],
  slowdown: number,
  nowMs: number,
): PlannedReading[] {
  const inOrder = [...reading].sort((a, b) => a.startedMs - b.startedMs);
  let freeMs = Number.NEGATIVE_INFINITY;
  return inOrder.map(work => {
    const parts = work.helpers.length + 1;
    const readMs = prefillPartMs(profile, work.promptTokens, parts) * slowdown;
    const startMs = Math.max(freeMs, work.startedMs);
    freeMs = startMs + readMs;
    return {
      work,
      startInMs: Math.max(0, startMs - nowMs),
      finishInMs: Math.max(0, freeMs - nowMs),
    };
  });
}
