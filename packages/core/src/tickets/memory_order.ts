/** `reserve` also renews an existing reservation. */
export type MemoryOrder = 'reserve' | 'release';
