/** A block that entered or left the prefix cache. */
export interface CacheChange {
  change: 'added' | 'removed';
  hash: string;
}
