/**
 * Divides a pool so that no part exceeds its demand and the smallest parts are
 * as large as possible (max-min fairness). Returns the parts in the order of
 * `demands`.
 */
export function divideFairly(pool: number, demands: number[]): number[] {
  const parts = demands.map(() => 0);
  const order = demands
    .map((demand, index) => ({demand, index}))
    .sort((a, b) => a.demand - b.demand);
  let remaining = pool;
  order.forEach(({demand, index}, done) => {
    const part = Math.min(demand, remaining / (order.length - done));
    parts[index] = part;
    remaining -= part;
  });
  return parts;
}

/** Like `divideFairly`, in whole units; the rest is given out in order. */
export function divideUnits(pool: number, demands: number[]): number[] {
  const parts = divideFairly(pool, demands).map(part => Math.floor(part));
  let remaining = Math.floor(pool) - parts.reduce((sum, part) => sum + part, 0);
  return parts.map((part, index) => {
    if (remaining < 1 || part + 1 > (demands[index] ?? 0)) return part;
    remaining -= 1;
    return part + 1;
  });
}
