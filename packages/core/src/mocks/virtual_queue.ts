/** Callbacks scheduled at times of a virtual clock. */
export interface VirtualQueue {
  at(atMs: number, run: () => void): void;
  /** Runs what is due, in order of time. */
  runDue(nowMs: number): void;
}

/** Creates an empty queue. */
export function createVirtualQueue(): VirtualQueue {
  let entries: {atMs: number; run: () => void}[] = [];

  return {
    at: (atMs, run) => {
      entries.push({atMs, run});
    },
    runDue: nowMs => {
      const due = entries.filter(entry => entry.atMs <= nowMs);
      if (due.length === 0) return;
      entries = entries.filter(entry => entry.atMs > nowMs);
      due.sort((a, b) => a.atMs - b.atMs);
      for (const {run} of due) run();
    },
  };
}
