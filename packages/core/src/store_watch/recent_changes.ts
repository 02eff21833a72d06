import type {EntryChange} from '../registry/entry_change.js';

/** Peers that miss messages for longer read the store themselves. */
const RETENTION_MS = 4_000;
/** Peers that lack more changes list everything; a datagram is limited. */
const MAX_CHANGES = 200;

/**
 * Recent registry changes to send to peers. They lead from the state at
 * `fromOffset` to that at `nextOffset`, without a gap.
 */
export interface RecentChanges {
  /** Adds changes between two offsets; a gap before them drops earlier ones. */
  add(
    nowMs: number,
    fromOffset: number,
    nextOffset: number,
    changes: EntryChange[],
  ): void;
  fromOffset(): number;
  nextOffset(): number;
  list(nowMs: number): EntryChange[];
}

interface Batch {
  atMs: number;
  /** Offset of the first record after the batch. */
  nextOffset: number;
  changes: EntryChange[];
}

/** Creates a list without changes. */
export function createRecentChanges(): RecentChanges {
  let from = 0;
  let next = 0;
  let batches: Batch[] = [];

  function prune(nowMs: number): void {
    while (batches[0] && nowMs - batches[0].atMs >= RETENTION_MS) {
      from = batches.shift()!.nextOffset;
    }
  }

  return {
    add: (nowMs, fromOffset, nextOffset, changes) => {
      prune(nowMs);
      if (fromOffset !== next) {
        from = fromOffset;
        batches = [];
      }
      next = nextOffset;
      batches.push({atMs: nowMs, nextOffset, changes});
      const count = batches.reduce((sum, b) => sum + b.changes.length, 0);
      if (count <= MAX_CHANGES) return;
      from = nextOffset;
      batches = [];
    },
    fromOffset: () => from,
    nextOffset: () => next,
    list: nowMs => {
      prune(nowMs);
      return batches.flatMap(({changes}) => changes);
    },
  };
}
