/** State of an endpoint as registered by itself. */
export type EntryState = 'ready' | 'leaving';
