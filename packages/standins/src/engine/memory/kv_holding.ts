/** Memory that one session holds. */
export interface KvHolding {
  /** Tokens outside the prefix cache. */
  ownTokens: number;
  /** Cached blocks that must not be evicted, shortest prefix first. */
  pinned: string[];
}
