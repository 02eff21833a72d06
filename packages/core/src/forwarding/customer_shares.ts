/** Time after which what a customer sent counts half, in milliseconds. */
const HALF_LIFE_MS = 1_000;
/** Customers that are kept; the one that sent nothing longest goes first. */
const MAX_CUSTOMERS = 256;
/** Customers with fewer recent requests do not count as active. */
const MIN_ACTIVE_REQUESTS = 0.5;

/**
 * Least allowance. With a smaller one, a customer with a quarter of the traffic
 * gets all refusals, and one with 60 % gets some without any gain for others.
 */
const MIN_ALLOWANCE = 0.8;

/** How much of the traffic each customer sends. */
export interface CustomerShares {
  add(nowMs: number, customer: string): void;
  /** An even share by the share that the customer has taken; at most 1. */
  allowance(nowMs: number, customer: string): number;
}

interface Recent {
  requests: number;
  atMs: number;
}

/** Creates shares without traffic. */
export function createCustomerShares(): CustomerShares {
  const recent = new Map<string, Recent>();

  function decayed(nowMs: number, {requests, atMs}: Recent): number {
    return requests * 2 ** ((atMs - nowMs) / HALF_LIFE_MS);
  }

  function add(nowMs: number, customer: string): void {
    const known = recent.get(customer);
    const requests = 1 + (known ? decayed(nowMs, known) : 0);
    recent.delete(customer);
    recent.set(customer, {requests, atMs: nowMs});
    if (recent.size <= MAX_CUSTOMERS) return;
    const [oldest = customer] = recent.keys();
    recent.delete(oldest);
  }

  function allowance(nowMs: number, customer: string): number {
    const known = recent.get(customer);
    if (!known) return 1;
    let sum = 0;
    let active = 0;
    // Only requests that would have to wait get here, and customers are few.
    for (const other of recent.values()) {
      const requests = decayed(nowMs, other);
      sum += requests;
      if (requests >= MIN_ACTIVE_REQUESTS) active += 1;
    }
    const share = sum / Math.max(1, active) / decayed(nowMs, known);
    return Math.min(1, Math.max(MIN_ALLOWANCE, share));
  }

  return {add, allowance};
}
