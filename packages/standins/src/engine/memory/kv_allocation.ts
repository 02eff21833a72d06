/** KV memory that is allocated to a session. */
export interface KvAllocation {
  /** Tokens outside the prefix cache. */
  uncachedTokens: number;
  /** Cached blocks that must not be evicted, shortest prefix first. */
  pinned: string[];
}
