/** Updates that wait to be piggybacked, each a limited number of times. */
export interface GossipQueue<T> {
  /** Adds an item or replaces the one with the same key. */
  put(key: string, item: T): void;
  /** The least often sent items; each counts as sent once more. */
  take(maxItems: number, maxSends: number): T[];
}

/** Limits of a queue. */
export interface GossipQueueOptions<T> {
  /** Items kept; the last in order is dropped beyond it. */
  capacity: number;
  /** Order among items that were sent equally often. */
  compare(a: T, b: T): number;
}

interface QueuedItem<T> {
  key: string;
  item: T;
  sends: number;
}

/** Creates an empty queue, without limits unless they are given. */
export function createGossipQueue<T>(
  options: GossipQueueOptions<T> = {
    capacity: Number.POSITIVE_INFINITY,
    compare: () => 0,
  },
): GossipQueue<T> {
  const queued = new Map<string, QueuedItem<T>>();

  function inOrder(): QueuedItem<T>[] {
    return [...queued.values()].sort(
      (a, b) => a.sends - b.sends || options.compare(a.item, b.item),
    );
  }

  function put(key: string, item: T): void {
    queued.set(key, {key, item, sends: 0});
    if (queued.size <= options.capacity) return;
    const last = inOrder().at(-1);
    if (last) queued.delete(last.key);
  }

  function take(maxItems: number, maxSends: number): T[] {
    if (queued.size === 0) return [];
    const chosen = inOrder().slice(0, maxItems);
    for (const entry of chosen) {
      entry.sends += 1;
      if (entry.sends >= maxSends) queued.delete(entry.key);
    }
    return chosen.map(entry => entry.item);
  }

  return {put, take};
}
