/** Runs callbacks in order of their virtual time. */
export interface VirtualClock {
  nowMs(): number;
  at(timeMs: number, run: () => void): void;
  /** Runs everything due up to a time and ends there. */
  runTo(timeMs: number): void;
}

interface Entry {
  timeMs: number;
  order: number;
  run: () => void;
}

/** Creates a clock; entries of equal time run in order of insertion. */
export function createVirtualClock(startMs = 1_000): VirtualClock {
  const heap: Entry[] = [];
  let nowMs = startMs;
  let order = 0;

  function before(a: Entry, b: Entry): boolean {
    return a.timeMs < b.timeMs || (a.timeMs === b.timeMs && a.order < b.order);
  }

  function push(entry: Entry): void {
    let i = heap.length;
    for (let up = (i - 1) >> 1; i > 0 && before(entry, heap[up]!);) {
      heap[i] = heap[up]!;
      i = up;
      up = (i - 1) >> 1;
    }
    heap[i] = entry;
  }

  function pop(): Entry {
    const top = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return top;
    let i = 0;
    for (let child = 1; child < heap.length; child = 2 * i + 1) {
      const right = heap[child + 1];
      if (right && before(right, heap[child]!)) child += 1;
      if (!before(heap[child]!, last)) break;
      heap[i] = heap[child]!;
      i = child;
    }
    heap[i] = last;
    return top;
  }

  return {
    nowMs: () => nowMs,
    at: (timeMs, run) => push({timeMs, order: (order += 1), run}),
    runTo: timeMs => {
      while (heap.length > 0 && heap[0]!.timeMs <= timeMs) {
        const entry = pop();
        nowMs = Math.max(nowMs, entry.timeMs);
        entry.run();
      }
      nowMs = timeMs;
    },
  };
}
