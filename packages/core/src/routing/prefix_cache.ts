import type {CacheEvents} from '../router/events/cache_events.js';
import {hash32} from '../shared/hash32.js';

/** Entries kept per endpoint; 2,048 blocks are 524,288 tokens. */
const MAX_ENTRIES = 2_048;

/** Result of applying a batch of cache events. */
export type CacheVerdict = 'applied' | 'late' | 'gap';

/** Known entries of the prefix cache of one incarnation of an engine. */
export interface PrefixCache {
  readonly incarnation: string;
  /** Number of the newest event applied. */
  sequence(): number;
  /** Whether a full listing is needed to know all entries. */
  incomplete(): boolean;
  apply(event: CacheEvents): CacheVerdict;
  has(prefixHash: string): boolean;
  size(): number;
}

/**
 * Creates a cache without entries. Hashes are kept as 32-bit numbers, which
 * take a fraction of the memory; a collision only makes a cost estimate wrong.
 */
export function createPrefixCache(incarnation: string): PrefixCache {
  let entries = new Set<number>();
  /** Removed since the gap; an older listing must not restore them. */
  const removedSinceGap = new Set<number>();
  let sequence = 0;
  let gapSequence: number | undefined;

  function apply(event: CacheEvents): CacheVerdict {
    if (event.full) return applyListing(event);
    if (event.lastSequence <= sequence) return 'late';
    const gap = event.firstSequence > sequence + 1;
    if (gap) openGap(event.lastSequence);
    applyChanges(event);
    sequence = event.lastSequence;
    return gap ? 'gap' : 'applied';
  }

  /** Drops all entries, as they may have been removed during the gap. */
  function openGap(lastSequence: number): void {
    entries.clear();
    removedSinceGap.clear();
    gapSequence = lastSequence;
  }

  function applyChanges(event: CacheEvents): void {
    for (const hash of event.removed) {
      entries.delete(key(hash));
      if (gapSequence !== undefined) removedSinceGap.add(key(hash));
    }
    for (const hash of event.added) {
      add(key(hash));
      removedSinceGap.delete(key(hash));
    }
    if (removedSinceGap.size > MAX_ENTRIES) openGap(event.lastSequence);
  }

  function applyListing(event: CacheEvents): CacheVerdict {
    // A listing from before the gap lacks the changes during it.
    if (event.lastSequence < (gapSequence ?? sequence)) return 'late';
    const newer = event.lastSequence < sequence ? entries : new Set<number>();
    entries = new Set();
    for (const hash of event.added) {
      if (event.lastSequence >= sequence || !removedSinceGap.has(key(hash))) {
        add(key(hash));
      }
    }
    for (const entry of newer) add(entry);
    sequence = Math.max(sequence, event.lastSequence);
    gapSequence = undefined;
    removedSinceGap.clear();
    return 'applied';
  }

  /** Adds the newest entry and evicts the oldest if there are too many. */
  function add(entry: number): void {
    entries.delete(entry);
    entries.add(entry);
    if (entries.size <= MAX_ENTRIES) return;
    const oldest = entries.values().next().value;
    if (oldest !== undefined) entries.delete(oldest);
  }

  return {
    incarnation,
    sequence: () => sequence,
    incomplete: () => gapSequence !== undefined,
    apply,
    has: hash => entries.has(key(hash)),
    size: () => entries.size,
  };
}

function key(hash: string): number {
  return hash32(hash) | 0;
}
