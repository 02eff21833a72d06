import {BLOCK_TOKENS} from './block_tokens.js';
import type {CacheChange} from './cache_change.js';
import type {KvAllocation} from './kv_allocation.js';

/** KV memory of sessions and an LRU prefix cache with pinned blocks. */
export interface KvMemory {
  /** Pins the cached prefix and allocates the rest; undefined if full. */
  allocate(hashes: string[], tokens: number): KvAllocation | undefined;
  /** Moves the full blocks of a prefilled prompt into the cache. */
  commit(allocation: KvAllocation, hashes: string[]): void;
  /** Pins the given blocks as far as they are cached. */
  pin(hashes: string[]): KvAllocation;
  /** Caches imported blocks while memory is free; returns their number. */
  insert(hashes: string[]): number;
  release(allocation: KvAllocation): void;
  /** Tokens allocated to sessions; idle cached blocks are not counted. */
  usedTokens(): number;
  cachedHashes(): string[];
  /** Returns the cache changes since the previous call. */
  takeChanges(): CacheChange[];
}

/** Creates empty memory. */
export function createKvMemory(capacityTokens: number): KvMemory {
  /** Number of sessions that pin each cached block. */
  const pins = new Map<string, number>();
  /** Unpinned blocks, least recently used first. */
  const idle = new Set<string>();
  let changes: CacheChange[] = [];
  let uncachedTokens = 0;

  function usedTokens(): number {
    return uncachedTokens + (pins.size - idle.size) * BLOCK_TOKENS;
  }

  function addBlock(hash: string, count: number): void {
    pins.set(hash, count);
    changes.push({change: 'added', hash});
  }

  function evictDownTo(limitTokens: number): void {
    for (const hash of idle) {
      if (uncachedTokens + pins.size * BLOCK_TOKENS <= limitTokens) return;
      idle.delete(hash);
      pins.delete(hash);
      changes.push({change: 'removed', hash});
    }
  }

  function pinBlock(hash: string): void {
    idle.delete(hash);
    pins.set(hash, (pins.get(hash) ?? 0) + 1);
  }

  function allocate(
    hashes: string[],
    tokens: number,
  ): KvAllocation | undefined {
    const firstMiss = hashes.findIndex(hash => !pins.has(hash));
    const matched = firstMiss < 0 ? hashes : hashes.slice(0, firstMiss);
    const uncached = Math.max(0, tokens - matched.length * BLOCK_TOKENS);
    const newlyPinned = matched.filter(hash => idle.has(hash)).length;
    const usedAfter = usedTokens() + newlyPinned * BLOCK_TOKENS + uncached;
    if (usedAfter > capacityTokens) return undefined;
    for (const hash of matched) pinBlock(hash);
    uncachedTokens += uncached;
    evictDownTo(capacityTokens);
    return {uncachedTokens: uncached, pinned: [...matched]};
  }

  function commit(allocation: KvAllocation, hashes: string[]): void {
    for (const hash of hashes.slice(allocation.pinned.length)) {
      if (allocation.uncachedTokens < BLOCK_TOKENS) return;
      allocation.uncachedTokens -= BLOCK_TOKENS;
      uncachedTokens -= BLOCK_TOKENS;
      allocation.pinned.push(hash);
      if (pins.has(hash)) pinBlock(hash);
      else addBlock(hash, 1);
    }
  }

  function pin(hashes: string[]): KvAllocation {
    const pinned = hashes.filter(hash => pins.has(hash));
    for (const hash of pinned) pinBlock(hash);
    return {uncachedTokens: 0, pinned};
  }

  function insert(hashes: string[]): number {
    let inserted = 0;
    for (const hash of hashes) {
      if (pins.has(hash)) continue;
      if (usedTokens() + BLOCK_TOKENS > capacityTokens) break;
      evictDownTo(capacityTokens - BLOCK_TOKENS);
      addBlock(hash, 0);
      idle.add(hash);
      inserted += 1;
    }
    return inserted;
  }

  function release(allocation: KvAllocation): void {
    uncachedTokens -= allocation.uncachedTokens;
    allocation.uncachedTokens = 0;
    // Evicts longer prefixes first: a block is useless without its prefix.
    for (const hash of allocation.pinned.splice(0).reverse()) {
      const pinCount = (pins.get(hash) ?? 1) - 1;
      pins.set(hash, pinCount);
      if (pinCount === 0) idle.add(hash);
    }
  }

  return {
    allocate,
    commit,
    pin,
    insert,
    release,
    usedTokens,
    cachedHashes: () => [...pins.keys()],
    takeChanges: () => {
      const taken = changes;
      changes = [];
      return taken;
    },
  };
}
