import type {EndpointView} from '../endpoints/endpoint_view.js';
import {hash32} from '../shared/hash32.js';

/** Chooses which engines of a service long prompts use. */
export type LongSubset = (
  service: string,
  candidates: EndpointView[],
  size: number,
) => ReadonlySet<EndpointView>;

interface Chosen {
  candidates: EndpointView[];
  size: number;
  subset: ReadonlySet<EndpointView>;
}

/**
 * Creates a choice by rendezvous weight: routers that know the same endpoints
 * agree on the subset, and larger subsets contain it. The latest choice of each
 * service is cached, since candidates seldom change.
 */
export function createLongSubset(): LongSubset {
  const latest = new Map<string, Chosen>();

  return (service, candidates, size) => {
    const known = latest.get(service);
    if (known?.size === size && sameViews(known.candidates, candidates)) {
      return known.subset;
    }
    const subset = new Set(heaviest(candidates, size));
    latest.set(service, {candidates, size, subset});
    return subset;
  };
}

function heaviest(candidates: EndpointView[], size: number): EndpointView[] {
  return candidates
    .map(view => ({view, weight: weightOf(view)}))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, size)
    .map(({view}) => view);
}

function weightOf({row}: EndpointView): number {
  return hash32(`${row.service}|${row.name}`);
}

function sameViews(a: EndpointView[], b: EndpointView[]): boolean {
  return a.length === b.length && a.every((view, i) => view === b[i]);
}
