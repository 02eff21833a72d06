/**
 * Number of requests that explain the ends of engines, the ones that were on
 * most of them first. An engine without a known request counts as one.
 * @param ends requests on each engine that ended
 */
export function fewestRequests(ends: ReadonlySet<string>[]): number {
  let count = 0;
  let left = ends;
  while (left.length > 0) {
    const request = mostFrequent(left);
    if (request === undefined) return count + left.length;
    left = left.filter(requests => !requests.has(request));
    count += 1;
  }
  return count;
}

function mostFrequent(ends: ReadonlySet<string>[]): string | undefined {
  const counts = new Map<string, number>();
  for (const request of ends.flatMap(requests => [...requests])) {
    counts.set(request, (counts.get(request) ?? 0) + 1);
  }
  const [most] = [...counts].sort(([, a], [, b]) => b - a);
  return most?.[0];
}
