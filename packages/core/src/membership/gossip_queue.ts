/** Updates to piggyback on messages, each a limited number of times. */
export interface GossipQueue<T> {
  /** Adds an item or replaces the one with the same key. */
  put(nowMs: number, key: string, item: T): void;
  /** Returns the least often sent items and counts one more send of each. */
  take(nowMs: number, maxItems: number, maxSends: number): T[];
}

/** Limits of a queue. */
export interface GossipQueueOptions<T> {
  /** Beyond twice this size the queue is cut to it; the last items are lost. */
  capacity: number;
  /** Order among items that were sent equally often. */
  compare(a: T, b: T): number;
  /** Minimum time for which items are sent, however often that is. */
  minAgeMs: number;
}

const NO_LIMITS: GossipQueueOptions<unknown> = {
  capacity: Number.POSITIVE_INFINITY,
  compare: () => 0,
  minAgeMs: 0,
};

interface QueuedItem<T> {
  key: string;
  item: T;
  sends: number;
  queuedMs: number;
}

/** Creates an empty queue; by default it has no limits. */
export function createGossipQueue<T>(
  overrides: Partial<GossipQueueOptions<T>> = {},
): GossipQueue<T> {
  const options: GossipQueueOptions<T> = {...NO_LIMITS, ...overrides};
  const queued = new Map<string, QueuedItem<T>>();

  function inOrder(): QueuedItem<T>[] {
    return [...queued.values()].sort(
      (a, b) => a.sends - b.sends || options.compare(a.item, b.item),
    );
  }

  function put(nowMs: number, key: string, item: T): void {
    queued.set(key, {key, item, sends: 0, queuedMs: nowMs});
    // Sorting at every insertion would cost more than the surplus items.
    if (queued.size <= 2 * options.capacity) return;
    const surplus = inOrder().slice(options.capacity);
    for (const entry of surplus) queued.delete(entry.key);
  }

  function take(nowMs: number, maxItems: number, maxSends: number): T[] {
    if (queued.size === 0) return [];
    const chosen = inOrder().slice(0, maxItems);
    for (const entry of chosen) {
      entry.sends += 1;
      const minAgeReached = nowMs - entry.queuedMs >= options.minAgeMs;
      if (minAgeReached && entry.sends >= maxSends) queued.delete(entry.key);
    }
    return chosen.map(entry => entry.item);
  }

  return {put, take};
}
