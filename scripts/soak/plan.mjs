import {FAULTS} from './faults.mjs';

/** Mean time between the starts of two faults, which may overlap. */
const MEAN_INTERVAL_MS = 700;
const MIN_LENGTH_MS = 150;
const MAX_LENGTH_MS = 2_500;

/**
 * Draws a random schedule of faults, with offsets from the start of the run.
 * @param kinds number of fault kinds to draw from, in the order of `FAULTS`
 */
export function drawPlan(random, durationMs, kinds = Infinity) {
  const names = Object.keys(FAULTS).slice(0, kinds);
  const plan = [];
  for (let atMs = 500; ;) {
    atMs += -Math.log(1 - random()) * MEAN_INTERVAL_MS;
    if (atMs > durationMs) return plan;
    const name = names[Math.floor(random() * names.length)];
    const lengthMs = MIN_LENGTH_MS + random() * (MAX_LENGTH_MS - MIN_LENGTH_MS);
    plan.push({name, atMs, lengthMs});
    // Some faults recur shortly after their end.
    if (random() < 0.25)
      plan.push({name, atMs: atMs + lengthMs + 200, lengthMs});
  }
}
