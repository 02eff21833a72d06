/**
 * Where a fold stands after a read. `newest`: it holds every record of the
 * log. `behind`: the follower will deliver the next record. `reread`: the
 * follower is past the next record, which the log still has. `trimmed`: the
 * next record has passed out of retention and no snapshot covers the gap.
 */
export type ReadPosition = 'newest' | 'behind' | 'reread' | 'trimmed';
