import type {GatewayFeature} from './gateway_feature.js';

/** Time after its start in which a gateway may not know others' work. */
const NEWLY_STARTED_MS = 2_000;

/** When a gateway started. */
export interface StartTime extends GatewayFeature {
  /** @param nowMs steady clock */
  newlyStarted(nowMs: number): boolean;
  /** Time since the start, in milliseconds. */
  uptimeMs(nowMs: number): number;
}

/** Creates the start time of a gateway before its first step. */
export function createStartTime(): StartTime {
  let startedMs = Number.POSITIVE_INFINITY;
  return {
    handlers: {},
    start: ctx => {
      startedMs = ctx.nowMs;
    },
    newlyStarted: nowMs => nowMs - startedMs < NEWLY_STARTED_MS,
    uptimeMs: nowMs => Math.max(0, nowMs - startedMs),
  };
}
