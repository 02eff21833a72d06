const SENDS_PER_DOUBLING = 3;
/** Keeps a loss of 20% from hiding an update in groups of two or three. */
const MIN_SENDS = 8;

/** Number of times that each node of a group sends one update. */
export function gossipSends(groupSize: number): number {
  const sends = Math.ceil(SENDS_PER_DOUBLING * Math.log2(groupSize));
  return Math.max(MIN_SENDS, sends);
}
