/** A block that was added to or evicted from the prefix cache. */
export interface CacheChange {
  change: 'added' | 'removed';
  hash: string;
}
