import type {GatewayFeature} from './gateway_feature.js';

/** So long after its start, a gateway may not know what others do. */
const START_MS = 2_000;

/** When a gateway started. */
export interface StartTime extends GatewayFeature {
  /** @param nowMs steady clock */
  newlyStarted(nowMs: number): boolean;
}

/** Creates the start time of a gateway whose first step is to come. */
export function createStartTime(): StartTime {
  let startedMs = Number.POSITIVE_INFINITY;
  return {
    handlers: {},
    start: ctx => {
      startedMs = ctx.nowMs;
    },
    newlyStarted: nowMs => nowMs - startedMs < START_MS,
  };
}
