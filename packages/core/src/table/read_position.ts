/**
 * Position of a fold in the log after a read. `newest`: every record of the
 * log is applied. `behind`: the follower will deliver the next record.
 * `reread`: the follower is past the next record, which the log still has.
 * `trimmed`: the next record has passed out of retention and no snapshot
 * covers the gap.
 */
export type ReadPosition = 'newest' | 'behind' | 'reread' | 'trimmed';
