interface Task {
  atMs: number;
  order: number;
  run: () => void;
}

/** Runs callbacks in order of their virtual time. */
export interface VirtualScheduler {
  nowMs(): number;
  after(delayMs: number, run: () => void): void;
  /** Runs everything due within the next milliseconds. */
  advance(durationMs: number): void;
}

/** Creates a scheduler whose clock starts at `startMs`. */
export function createVirtualScheduler(startMs = 1_000): VirtualScheduler {
  const heap: Task[] = [];
  let nowMs = startMs;
  let count = 0;

  function before(a: number, b: number): boolean {
    const x = heap[a]!;
    const y = heap[b]!;
    return x.atMs < y.atMs || (x.atMs === y.atMs && x.order < y.order);
  }

  function swap(a: number, b: number): void {
    [heap[a], heap[b]] = [heap[b]!, heap[a]!];
  }

  function push(task: Task): void {
    heap.push(task);
    let at = heap.length - 1;
    while (at > 0 && before(at, (at - 1) >> 1)) {
      swap(at, (at - 1) >> 1);
      at = (at - 1) >> 1;
    }
  }

  function pop(): Task {
    swap(0, heap.length - 1);
    const task = heap.pop()!;
    let at = 0;
    for (;;) {
      let earliest = at;
      for (const child of [2 * at + 1, 2 * at + 2]) {
        if (child < heap.length && before(child, earliest)) earliest = child;
      }
      if (earliest === at) return task;
      swap(at, earliest);
      at = earliest;
    }
  }

  return {
    nowMs: () => nowMs,
    after: (delayMs, run) => push({atMs: nowMs + delayMs, order: count++, run}),
    advance: durationMs => {
      const endMs = nowMs + durationMs;
      while (heap.length > 0 && heap[0]!.atMs <= endMs) {
        const task = pop();
        nowMs = task.atMs;
        task.run();
      }
      nowMs = endMs;
    },
  };
}
