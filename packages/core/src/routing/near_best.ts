import type {RandomSource} from '../types/random_source.js';
import type {RouteChoice} from './route_choice.js';

/** Random draws among the near-best; the cheapest of them is taken. */
const DRAWS = 2;
/** Absolute margin, since reports are less precise than this. */
const MARGIN_MS = 10;
/** Margin relative to the lowest cost, given up to spread the load. */
const MARGIN_SHARE = 0.25;

/**
 * Picks among endpoints whose cost is near the lowest. Routers that know the
 * same reports would otherwise all choose the same endpoint.
 */
export function pickNearBest(
  choices: RouteChoice[],
  random: RandomSource,
): RouteChoice | undefined {
  let best: RouteChoice | undefined;
  for (const choice of choices) {
    if (!best || choice.costMs < best.costMs) best = choice;
  }
  if (!best) return undefined;
  const limit = best.costMs * (1 + MARGIN_SHARE) + MARGIN_MS;
  const near = choices.filter(choice => choice.costMs <= limit);
  let picked: RouteChoice | undefined;
  for (let draw = 0; draw < DRAWS; draw++) {
    const drawn = near[Math.floor(random() * near.length)]!;
    if (!picked || drawn.costMs < picked.costMs) picked = drawn;
  }
  return (
    picked && {
      ...picked,
      reason: `${picked.reason}, best of ${DRAWS} draws from ${near.length}`,
    }
  );
}
