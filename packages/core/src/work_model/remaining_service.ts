import type {Work} from '../fleet/work.js';

/**
 * Service time that the calls in flight on an endpoint still need. A call that
 * takes longer than expected needs longer still: its endpoint may be slow.
 */
export function remainingServiceMs(works: Work[], nowMs: number): number {
  let sumMs = 0;
  for (const {serviceMs, startedMs} of works) {
    const halfMs = Math.max(0, nowMs - startedMs) / 2;
    sumMs += Math.max(serviceMs - halfMs, halfMs);
  }
  return sumMs;
}
