/** What an endpoint says of itself. */
export type EntryState = 'ready' | 'leaving';
