/**
 * Pieces that are parsed in one turn of the event loop. A piece of 4 KiB holds
 * up to 700 chunks of one byte, which take about a millisecond.
 */
const MAX_PIECES = 16;
/** Turns are told apart only when many pieces come: it costs a wake-up. */
const COUNTED_PIECES = 8;

/** Shares the turns of the event loop among the connections of a server. */
export interface ReadTurns {
  /** Takes the right to parse one piece now; false if the turn is used up. */
  tryTake(): boolean;
  /** Whether connections wait for a turn. */
  isCrowded(): boolean;
  /** Calls `resume` in a later turn, after all that wait already. */
  wait(resume: () => void): void;
  /** A connection waits no longer. */
  cancel(resume: () => void): void;
  /** Gives each connection that waits a turn now. */
  flush(): void;
}

/** Creates the turns of a server. */
export function createReadTurns(): ReadTurns {
  const waiting = new Set<() => void>();
  let taken = 0;
  let scheduled = false;

  function schedule(): void {
    if (scheduled) return;
    scheduled = true;
    setImmediate(startTurn);
  }

  function startTurn(): void {
    scheduled = false;
    taken = 0;
    for (const resume of waiting) {
      if (taken >= MAX_PIECES) break;
      waiting.delete(resume);
      resume();
    }
    if (waiting.size > 0) schedule();
  }

  return {
    tryTake: () => {
      if (taken >= MAX_PIECES) return false;
      taken += 1;
      if (taken >= COUNTED_PIECES) schedule();
      return true;
    },
    isCrowded: () => waiting.size > 0,
    wait: resume => {
      waiting.add(resume);
      schedule();
    },
    cancel: resume => void waiting.delete(resume),
    flush: () => {
      for (const resume of [...waiting]) {
        waiting.delete(resume);
        taken = 0;
        resume();
      }
    },
  };
}
