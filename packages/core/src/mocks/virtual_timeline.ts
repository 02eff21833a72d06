/** Callbacks at times of a virtual clock, in order of time, then of addition. */
export interface VirtualTimeline {
  nowMs(): number;
  after(delayMs: number, run: () => void): void;
  /** Runs everything that is due until then, and moves the clock there. */
  runUntil(untilMs: number): void;
}

const SLICE_MS = 1;

/** Creates a timeline whose clock stands at `startMs`. */
export function createVirtualTimeline(startMs: number): VirtualTimeline {
  const slices = new Map<number, (() => void)[]>();
  let nowMs = startMs;

  function runSlice(): void {
    // Callbacks without a delay are added to the slice that runs.
    const due = slices.get(nowMs) ?? [];
    for (let i = 0; i < due.length; i++) due[i]!();
    slices.delete(nowMs);
  }

  return {
    nowMs: () => nowMs,
    after: (delayMs, run) => {
      const atMs = nowMs + Math.max(0, Math.round(delayMs));
      const due = slices.get(atMs);
      if (due) due.push(run);
      else slices.set(atMs, [run]);
    },
    runUntil: untilMs => {
      for (; nowMs < untilMs; nowMs += SLICE_MS) runSlice();
    },
  };
}
