/**
 * State of an edit. `accepted` and `conflict`: read back from the log.
 * `not_applied`: the append definitely failed. `pending`: not known yet.
 */
export type EditState = 'accepted' | 'conflict' | 'not_applied' | 'pending';
