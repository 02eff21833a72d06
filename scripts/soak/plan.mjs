import {FAULTS} from './faults.mjs';

/** Faults overlap: on average one begins in this time. */
const MEAN_GAP_MS = 700;
const MIN_LENGTH_MS = 150;
const MAX_LENGTH_MS = 2_500;

/**
 * Draws faults and when they begin and end after the start of a run.
 * @param kinds kinds of faults to draw from, the oldest ones
 */
export function drawPlan(random, durationMs, kinds = Infinity) {
  const names = Object.keys(FAULTS).slice(0, kinds);
  const plan = [];
  for (let atMs = 500; ;) {
    atMs += -Math.log(1 - random()) * MEAN_GAP_MS;
    if (atMs > durationMs) return plan;
    const name = names[Math.floor(random() * names.length)];
    const lengthMs = MIN_LENGTH_MS + random() * (MAX_LENGTH_MS - MIN_LENGTH_MS);
    plan.push({name, atMs, lengthMs});
    // A series: the same again, shortly after.
    if (random() < 0.25)
      plan.push({name, atMs: atMs + lengthMs + 200, lengthMs});
  }
}
