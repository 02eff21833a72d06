import type {EntryChange} from '../registry/entry_change.js';

/** Peers that miss messages for longer read the store themselves. */
const RETENTION_MS = 4_000;

/** Recent registry changes to send to peers, and the offset they start at. */
export interface RecentChanges {
  /** Drops all changes; the next ones start at the offset. */
  restart(offset: number): void;
  add(nowMs: number, offset: number, changes: EntryChange[]): void;
  fromOffset(): number;
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
  let batches: Batch[] = [];

  function prune(nowMs: number): void {
    while (batches[0] && nowMs - batches[0].atMs >= RETENTION_MS) {
      from = batches.shift()!.nextOffset;
    }
  }

  return {
    restart: offset => {
      from = offset;
      batches = [];
    },
    add: (nowMs, nextOffset, changes) => {
      prune(nowMs);
      batches.push({atMs: nowMs, nextOffset, changes});
    },
    fromOffset: () => from,
    list: nowMs => {
      prune(nowMs);
      return batches.flatMap(({changes}) => changes);
    },
  };
}
