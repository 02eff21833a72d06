/**
 * Why a connection was closed. `bound`: there were too many. `memory_short`:
 * there was no memory for what it had sent.
 */
export type ConnectionEnd = 'bound' | 'memory_short';
