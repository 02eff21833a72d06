/**
 * Divides a pool so that no part exceeds what is wanted and the smallest
 * parts are as large as possible (max-min fairness). The parts come in the
 * order of `wants`.
 */
export function divideFairly(pool: number, wants: number[]): number[] {
  const parts = wants.map(() => 0);
  const order = wants
    .map((want, index) => ({want, index}))
    .sort((a, b) => a.want - b.want);
  let left = pool;
  order.forEach(({want, index}, done) => {
    const part = Math.min(want, left / (order.length - done));
    parts[index] = part;
    left -= part;
  });
  return parts;
}

/** As `divideFairly`, in whole units; what remains goes in order. */
export function divideUnits(pool: number, wants: number[]): number[] {
  const parts = divideFairly(pool, wants).map(part => Math.floor(part));
  let left = Math.floor(pool) - parts.reduce((sum, part) => sum + part, 0);
  return parts.map((part, index) => {
    if (left < 1 || part + 1 > (wants[index] ?? 0)) return part;
    left -= 1;
    return part + 1;
  });
}
