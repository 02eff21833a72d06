/**
 * Result of an order. After `unknown` it may have been carried out, or may be
 * carried out later.
 */
export type MemoryAnswer = 'done' | 'refused' | 'unknown';
