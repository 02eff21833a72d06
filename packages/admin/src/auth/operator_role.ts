/**
 * What a key may do. `reader`: read. `operator`: also start, drain and stop
 * endpoints. `editor`: also change rows.
 */
export type OperatorRole = 'reader' | 'operator' | 'editor';
