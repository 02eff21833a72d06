import type {MemoryHolder} from './memory_holder.js';

/** Bounds the bytes that a process holds for callers and endpoints. */
export interface MemoryBudget {
  /**
   * Takes bytes for a holder, evicting others if memory is short.
   * @returns false, and nothing is taken, if the holder is itself the one to
   * evict, or nothing else can be
   */
  tryTake(holder: MemoryHolder, bytes: number): boolean;
  /**
   * Changes what a holder has, in the same way.
   * @param heapBytes part of the bytes that lies in the JavaScript heap
   */
  resize(holder: MemoryHolder, bytes: number, heapBytes: number): boolean;
  giveBack(holder: MemoryHolder, bytes: number): void;
  /** Gives back everything that a holder has. */
  remove(holder: MemoryHolder): void;
  /** Evicts the costliest holder; false if none may be evicted. */
  evictCostliest(): boolean;
  /** Whether bytes fit beside what must not be dropped. */
  canHold(bytes: number): boolean;
  /** Starts the next interval of progress and checks limits on time. */
  nextInterval(nowMs: number): void;
  heldBytes(): number;
  maxBytes(): number;
  setMaxBytes(maxBytes: number, maxHeapBytes?: number): void;
}

type CostOf = (holder: MemoryHolder) => number;

const costOfBytes: CostOf = holder => holder.evictionCost();
const costOfHeap: CostOf = holder => holder.heapEvictionCost();

/**
 * Creates an unused budget.
 * @param initialMaxHeapBytes largest part of it that may lie in the JavaScript
 * heap, which has a limit of its own
 */
export function createMemoryBudget(
  initialMaxBytes: number,
  initialMaxHeapBytes = initialMaxBytes,
): MemoryBudget {
  const holders = new Set<MemoryHolder>();
  let maxBytes = initialMaxBytes;
  let maxHeapBytes = initialMaxHeapBytes;
  let heldBytes = 0;
  let heapBytes = 0;

  function tryTake(holder: MemoryHolder, bytes: number): boolean {
    return resize(holder, holder.heldBytes + bytes, holder.heapBytes);
  }

  function resize(
    holder: MemoryHolder,
    nextBytes: number,
    nextHeapBytes: number,
  ): boolean {
    const addedBytes = nextBytes - holder.heldBytes;
    const addedHeapBytes = nextHeapBytes - holder.heapBytes;
    while (addedBytes > 0 && heldBytes + addedBytes > maxBytes) {
      if (!evictFor(holder, costOfBytes)) return false;
    }
    while (addedHeapBytes > 0 && heapBytes + addedHeapBytes > maxHeapBytes) {
      if (!evictFor(holder, costOfHeap)) return false;
    }
    holders.add(holder);
    holder.heldBytes = nextBytes;
    holder.heapBytes = nextHeapBytes;
    heldBytes += addedBytes;
    heapBytes += addedHeapBytes;
    return true;
  }

  function evictFor(asking: MemoryHolder, costOf: CostOf): boolean {
    const victim = costliest(costOf, 0);
    if (!victim || victim === asking) return false;
    victim.evict();
    remove(victim);
    return true;
  }

  /** The holder with the highest cost above a bound. */
  function costliest(costOf: CostOf, above: number): MemoryHolder | undefined {
    let worst: MemoryHolder | undefined;
    let worstCost = above;
    for (const holder of holders) {
      if (!holder.isEvictable()) continue;
      const cost = costOf(holder);
      if (cost <= worstCost) continue;
      worst = holder;
      worstCost = cost;
    }
    return worst;
  }

  function giveBack(holder: MemoryHolder, bytes: number): void {
    const given = Math.min(bytes, holder.heldBytes);
    holder.heldBytes -= given;
    heldBytes -= given;
  }

  function remove(holder: MemoryHolder): void {
    giveBack(holder, holder.heldBytes);
    heapBytes -= holder.heapBytes;
    holder.heapBytes = 0;
    holders.delete(holder);
  }

  function evictCostliest(): boolean {
    const victim = costliest(costOfBytes, -1);
    if (!victim) return false;
    victim.evict();
    // Also if it keeps its memory, else it would be asked again and again.
    remove(victim);
    return true;
  }

  function canHold(bytes: number): boolean {
    if (heldBytes + bytes <= maxBytes) return true;
    let neededBytes = 0;
    for (const holder of holders) {
      if (!holder.isEvictable()) neededBytes += holder.heldBytes;
    }
    return neededBytes + bytes <= maxBytes;
  }

  return {
    tryTake,
    resize,
    giveBack,
    remove,
    evictCostliest,
    canHold,
    nextInterval: nowMs => {
      for (const holder of [...holders]) {
        holder.nextInterval();
        holder.check(nowMs);
      }
    },
    heldBytes: () => heldBytes,
    maxBytes: () => maxBytes,
    setMaxBytes: (next, nextHeapBytes = next) => {
      maxBytes = next;
      maxHeapBytes = nextHeapBytes;
    },
  };
}
