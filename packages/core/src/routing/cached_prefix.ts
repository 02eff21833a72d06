/** Returns how many tokens of a prompt an endpoint has in its cache. */
export type CachedPrefix = (endpoint: string, prefixHashes: string[]) => number;
