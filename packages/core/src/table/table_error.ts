/** Errors of the table feature. */
export type TableError = 'malformed_record' | 'gap';
