import {BLOCK_TOKENS} from './block_tokens.js';
import type {CacheChange} from './cache_change.js';
import type {KvHolding} from './kv_holding.js';

/** KV memory: tokens of sessions and a prefix cache under LRU. */
export interface KvMemory {
  /** Pins the cached prefix and takes the rest; undefined if full. */
  admit(hashes: string[], tokens: number): KvHolding | undefined;
  /** Turns a prefilled prompt's whole blocks into cached blocks. */
  commit(holding: KvHolding, hashes: string[]): void;
  /** Pins those of the blocks that are cached. */
  pin(hashes: string[]): KvHolding;
  /** Adds blocks of another engine, as far as memory is free. */
  insert(hashes: string[]): number;
  release(holding: KvHolding): void;
  /** Tokens that sessions hold; idle cached blocks do not count. */
  usedTokens(): number;
  cachedHashes(): string[];
  /** Returns and forgets the changes since the last call. */
  takeChanges(): CacheChange[];
}

/** Creates empty memory. */
export function createKvMemory(capacityTokens: number): KvMemory {
  /** Number of sessions that pin each cached block. */
  const pins = new Map<string, number>();
  /** Blocks without a pin, least recently used first. */
  const idle = new Set<string>();
  let changes: CacheChange[] = [];
  let ownTokens = 0;

  function usedTokens(): number {
    return ownTokens + (pins.size - idle.size) * BLOCK_TOKENS;
  }

  function add(hash: string, count: number): void {
    pins.set(hash, count);
    changes.push({change: 'added', hash});
  }

  function evictDownTo(limitTokens: number): void {
    for (const hash of idle) {
      if (ownTokens + pins.size * BLOCK_TOKENS <= limitTokens) return;
      idle.delete(hash);
      pins.delete(hash);
      changes.push({change: 'removed', hash});
    }
  }

  function pinBlock(hash: string): void {
    idle.delete(hash);
    pins.set(hash, (pins.get(hash) ?? 0) + 1);
  }

  function admit(hashes: string[], tokens: number): KvHolding | undefined {
    const missing = hashes.findIndex(hash => !pins.has(hash));
    const matched = missing < 0 ? hashes : hashes.slice(0, missing);
    const own = Math.max(0, tokens - matched.length * BLOCK_TOKENS);
    const newlyPinned = matched.filter(hash => idle.has(hash)).length;
    const after = usedTokens() + newlyPinned * BLOCK_TOKENS + own;
    if (after > capacityTokens) return undefined;
    for (const hash of matched) pinBlock(hash);
    ownTokens += own;
    evictDownTo(capacityTokens);
    return {ownTokens: own, pinned: [...matched]};
  }

  function commit(holding: KvHolding, hashes: string[]): void {
    for (const hash of hashes.slice(holding.pinned.length)) {
      if (holding.ownTokens < BLOCK_TOKENS) return;
      holding.ownTokens -= BLOCK_TOKENS;
      ownTokens -= BLOCK_TOKENS;
      holding.pinned.push(hash);
      if (pins.has(hash)) pinBlock(hash);
      else add(hash, 1);
    }
  }

  function pin(hashes: string[]): KvHolding {
    const pinned = hashes.filter(hash => pins.has(hash));
    for (const hash of pinned) pinBlock(hash);
    return {ownTokens: 0, pinned};
  }

  function insert(hashes: string[]): number {
    let inserted = 0;
    for (const hash of hashes) {
      if (pins.has(hash)) continue;
      if (usedTokens() + BLOCK_TOKENS > capacityTokens) break;
      evictDownTo(capacityTokens - BLOCK_TOKENS);
      add(hash, 0);
      idle.add(hash);
      inserted += 1;
    }
    return inserted;
  }

  function release(holding: KvHolding): void {
    ownTokens -= holding.ownTokens;
    holding.ownTokens = 0;
    // The longest prefix is evicted first, since it needs the shorter ones.
    for (const hash of holding.pinned.splice(0).reverse()) {
      const left = (pins.get(hash) ?? 1) - 1;
      pins.set(hash, left);
      if (left === 0) idle.add(hash);
    }
  }

  return {
    admit,
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
