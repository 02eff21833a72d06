/** Tokens per cache block; hash n of `prefixHashes` covers n blocks. */
export const BLOCK_TOKENS = 256;
