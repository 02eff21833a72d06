import {lateness} from '../engine_model/lateness.js';

/** How much likelier a delay makes it that a limit is missed. */
export function addedLateness(
  ms: number,
  delayMs: number,
  limitMs: number,
): number {
  return lateness(ms + delayMs, limitMs) - lateness(ms, limitMs);
}
