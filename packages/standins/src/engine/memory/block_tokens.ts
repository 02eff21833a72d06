/** Tokens of a block; each hash of `prefixHashes` covers one more. */
export const BLOCK_TOKENS = 256;
