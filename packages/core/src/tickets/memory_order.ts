/** `reserve` also prolongs memory that is set aside already. */
export type MemoryOrder = 'reserve' | 'release';
