/**
 * Which requests may be retried. `idempotent` ones may run more than once,
 * `non_idempotent` ones run at most once. A `stream` runs at most once as well,
 * unless its route lets another endpoint continue it.
 */
export type RequestKind = 'idempotent' | 'non_idempotent' | 'stream';
