import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {RandomSource} from '../types/random_source.js';

/** Part of the near endpoints that a choice in a crowd looks at. */
const NEAR_SHARE = 1 / 2;
/** Part of those in other failure domains, which traffic should avoid. */
const FAR_SHARE = 1 / 8;
/** A smaller sample seldom holds a good endpoint. */
const LEAST_SAMPLED = 8;

/**
 * Endpoints for one of many choices that are made at the same time: if all
 * looked at all endpoints, all would take the one that has just become the
 * best.
 */
export function sampleEntries(
  entries: EndpointEntry[],
  failureDomain: string,
  random: RandomSource,
): EndpointEntry[] {
  const shuffled = shuffle(entries, random);
  const near = shuffled.filter(entry => entry.failureDomain === failureDomain);
  const far = shuffled.filter(entry => entry.failureDomain !== failureDomain);
  const nearCount = Math.ceil(near.length * NEAR_SHARE);
  const farCount = Math.max(
    Math.ceil(far.length * FAR_SHARE),
    LEAST_SAMPLED - nearCount,
  );
  return [...near.slice(0, nearCount), ...far.slice(0, farCount)];
}

function shuffle<T>(items: T[], random: RandomSource): T[] {
  return items
    .map(item => ({item, order: random()}))
    .sort((a, b) => a.order - b.order)
    .map(({item}) => item);
}
