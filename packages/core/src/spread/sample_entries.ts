import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {RandomSource} from '../types/random_source.js';

/** Share of the endpoints in the same failure domain that are sampled. */
const SAME_DOMAIN_SHARE = 1 / 2;
/** Share of those in other failure domains, which traffic should avoid. */
const OTHER_DOMAIN_SHARE = 1 / 8;
/** A smaller sample rarely contains a good endpoint. */
const MIN_SAMPLE_SIZE = 8;

/**
 * Samples the endpoints that one choice considers. If gateways that choose at
 * the same time all considered every endpoint, they would all take the same
 * best one.
 */
export function sampleEntries(
  entries: EndpointEntry[],
  failureDomain: string,
  random: RandomSource,
): EndpointEntry[] {
  const shuffled = shuffle(entries, random);
  const sameDomain = shuffled.filter(
    entry => entry.failureDomain === failureDomain,
  );
  const otherDomain = shuffled.filter(
    entry => entry.failureDomain !== failureDomain,
  );
  const sameDomainCount = Math.ceil(sameDomain.length * SAME_DOMAIN_SHARE);
  const otherDomainCount = Math.max(
    Math.ceil(otherDomain.length * OTHER_DOMAIN_SHARE),
    MIN_SAMPLE_SIZE - sameDomainCount,
  );
  return [
    ...sameDomain.slice(0, sameDomainCount),
    ...otherDomain.slice(0, otherDomainCount),
  ];
}

function shuffle<T>(items: T[], random: RandomSource): T[] {
  return items
    .map(item => ({item, order: random()}))
    .sort((a, b) => a.order - b.order)
    .map(({item}) => item);
}
