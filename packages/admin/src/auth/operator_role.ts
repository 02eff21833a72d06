/**
 * Role of a key. A `reader` reads; an `operator` may also start, drain and stop
 * endpoints; an `editor` may also change rows.
 */
export type OperatorRole = 'reader' | 'operator' | 'editor';
