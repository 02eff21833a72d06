import type {EngineProfile} from '../configuration/engine_profile.js';
import type {Work} from '../fleet/work.js';
import type {AffectedWork} from './affected_work.js';
import type {EngineLoad} from './engine_load.js';
import {callerTimeoutMs} from './caller_timeout.js';
import {passMs} from './pass_cost.js';
import {planPrefills, type PlannedPrefill} from './planned_prefill.js';
import {requestValue} from './request_value.js';

/** Largest allowed gap of strict streams, whose engines long prompts avoid. */
export const STRICT_GAP_MS = 400;

/**
 * Estimates the load of an engine from the work in flight on it.
 * @param slowdown how many times slower than its profile the engine is
 */
export function estimateLoad(
  endpoint: string,
  profile: EngineProfile,
  works: Iterable<Work>,
  slowdown: number,
  nowMs: number,
): EngineLoad {
  const all = [...works];
  const own = all.filter(({main}) => main === endpoint);
  const decoding = own.filter(work => work.decoding);
  const prefilling = all.filter(work => !work.decoding);
  const plan = planPrefills(profile, prefilling, slowdown, nowMs);
  const begun = plan.filter(({startInMs}) => startInMs === 0);
  const backlogMs = begun.at(-1)?.finishInMs ?? 0;
  const basePassMs =
    passMs(profile, decoding.length, contextTokens(endpoint, all)) * slowdown;
  return {
    requests: own.length,
    helpedPrefills: prefilling.filter(({main}) => main !== endpoint).length,
    affected: [
      ...decoding.map(work => decodingWork(work, basePassMs + backlogMs)),
      ...plan.map(item => prefillingWork(item, basePassMs, backlogMs, nowMs)),
    ],
    backlogMs,
    freeInMs: plan.at(-1)?.finishInMs ?? 0,
    longestPlannedPrefillMs: longestPlannedPrefillMs(plan),
    decodingStreams: decoding.length,
    hasStrictStream: own.some(({gapMs}) => gapMs <= STRICT_GAP_MS),
    passMs: basePassMs,
    heldTokens: all.reduce((sum, work) => sum + heldTokens(endpoint, work), 0),
  };
}

function longestPlannedPrefillMs(plan: PlannedPrefill[]): number {
  return plan
    .filter(({startInMs}) => startInMs > 0)
    .map(({startInMs, finishInMs}) => finishInMs - startInMs)
    .reduce((longest, prefillMs) => Math.max(longest, prefillMs), 0);
}

function partTokens({promptTokens, helpers}: Work): number {
  return promptTokens / (helpers.length + 1);
}

/** Tokens of context that a decoding step of the engine attends to. */
function contextTokens(endpoint: string, works: Work[]): number {
  return works
    .filter(
      ({decoding, sharded, main}) => decoding && (sharded || main === endpoint),
    )
    .reduce((sum, work) => sum + partTokens(work), 0);
}

function heldTokens(endpoint: string, work: Work): number {
  const prompt = work.sharded ? partTokens(work) : work.promptTokens;
  if (work.main === endpoint) return prompt + work.outputTokens;
  return work.sharded ? prompt : 0;
}

function decodingWork(work: Work, expectedMs: number): AffectedWork {
  return {
    work,
    value: requestValue(work.promptTokens),
    expectedMs,
    headroomMs: 0,
    limitMs: work.gapMs,
    callerTimeoutMs: callerTimeoutMs(0, work.gapMs),
  };
}

function prefillingWork(
  {work, startInMs, finishInMs}: PlannedPrefill,
  basePassMs: number,
  backlogMs: number,
  nowMs: number,
): AffectedWork {
  const timeoutMs = callerTimeoutMs(work.dueMs - work.startedMs, work.gapMs);
  return {
    work,
    value: requestValue(work.promptTokens),
    expectedMs: finishInMs + basePassMs,
    headroomMs: Math.max(0, startInMs - backlogMs),
    limitMs: work.dueMs - nowMs,
    callerTimeoutMs: work.startedMs + timeoutMs - nowMs,
  };
}
