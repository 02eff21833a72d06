/** Runs callbacks in order of their virtual time. */
export interface VirtualClock {
  nowMs(): number;
  /** Runs `call` after a delay; equal times keep their order. */
  after(delayMs: number, call: () => void): void;
  /** Runs until nothing is left or `stop` returns true. */
  run(stop: () => boolean): void;
}

interface Timer {
  atMs: number;
  order: number;
  call: () => void;
}

/** Creates a clock at 1,000 ms; timers are a binary heap. */
export function createVirtualClock(): VirtualClock {
  const heap: Timer[] = [];
  let nowMs = 1_000;
  let orders = 0;

  function before(a: Timer, b: Timer): boolean {
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
  }

  function after(delayMs: number, call: () => void): void {
    const timer = {atMs: nowMs + delayMs, order: orders++, call};
    let at = heap.length;
    heap.push(timer);
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!before(timer, heap[parent]!)) break;
      heap[at] = heap[parent]!;
      at = parent;
    }
    heap[at] = timer;
  }

  function pop(): Timer | undefined {
    const top = heap[0];
    const last = heap.pop();
    if (!top || !last || heap.length === 0) return top;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && before(heap[child + 1]!, heap[child]!)) {
        child += 1;
      }
      if (!before(heap[child]!, last)) break;
      heap[at] = heap[child]!;
      at = child;
    }
    heap[at] = last;
    return top;
  }

  function run(stop: () => boolean): void {
    while (!stop()) {
      const timer = pop();
      if (!timer) return;
      nowMs = timer.atMs;
      timer.call();
    }
  }

  return {nowMs: () => nowMs, after, run};
}
